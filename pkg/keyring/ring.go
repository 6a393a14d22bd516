package keyring

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of Verify.
var (
	// ErrUnknown means that the key is malformed, does not exist or has the wrong
	// secret. The error is the same in all cases, so that identifiers cannot be
	// probed.
	ErrInvalidKey = errors.New("key is not valid")
	// ErrWithdrawn means that the key was withdrawn or has expired. It is returned
	// only if the secret is correct.
	ErrWithdrawn = errors.New("key was withdrawn or has expired")
)

// Stored is the stored form of a key without its secret, and the record of the key
// on the control stream.
type StoredKey struct {
	// ID is the public part of the key.
	ID string `json:"id"`
	// Account is the account that the key authenticates; it never changes.
	Account spool.AccountID `json:"account"`
	// Salt and Hash are the salt and the HMAC-SHA-256 of the key. They never change.
	Salt []byte `json:"salt"`
	Hash []byte `json:"hash"`
	// IssuedAt is the time of issue by the clock of the issuer.
	IssuedAt clock.Millis `json:"issuedAtMs"`
	// ExpiresAt is the time from which the key is rejected; 0 if it never expires. A
	// later record may set an earlier time but not a later one.
	ExpiresAt clock.Millis `json:"expiresAtMs,omitempty"`
	// Withdrawn is true once the key has been withdrawn. It cannot be reset.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Base is the offset up to which the author of the record had read the stream.
	Base spool.Offset `json:"base"`
}

// Issue generates a key for account and its stored form. expiresAt is 0 for a key
// that never expires. The returned key is the only copy of the secret.
func Issue(account spool.AccountID, now, expiresAt clock.Millis) (key Key, stored StoredKey, err error) {
	defer func() { err = errors.Wrapf(err, "issue key for account %q", account) }()
	key, err = NewKey(rand.Reader)
	if err != nil {
		return Key{}, StoredKey{}, err
	}
	salt, err := newSalt()
	if err != nil {
		return Key{}, StoredKey{}, err
	}
	return key, StoredKey{
		ID: key.id, Account: account, Salt: salt, Hash: keyHash(salt, key.id, key.secret),
		IssuedAt: now, ExpiresAt: expiresAt,
	}, nil
}

// Check checks the format of the record. The result depends only on the record.
func (s StoredKey) Check() error {
	if len(s.ID) != idChars || !isBase32(s.ID) {
		return errors.New("key identifier is malformed")
	}
	if err := settings.CheckIdentifier(string(s.Account)); err != nil {
		return errors.Wrapf(err, "account of key %s", s.ID)
	}
	if len(s.Salt) != saltBytes || len(s.Hash) != sha256.Size {
		return errors.Errorf("key %s has a salt or hash of the wrong length", s.ID)
	}
	if s.ExpiresAt < 0 || s.IssuedAt < 0 {
		return errors.Errorf("key %s has a negative time", s.ID)
	}
	return nil
}

// Live reports whether the key may be used at now.
func (s StoredKey) ValidAt(now clock.Millis) bool {
	return !s.Withdrawn && (s.ExpiresAt == 0 || now < s.ExpiresAt)
}

// Ring holds the stored keys. It is not safe for concurrent use; concurrent
// calls of Verify and Get alone are.
type Ring struct {
	table *settings.Table[StoredKey]
	// placeholder is compared with the key if the identifier is unknown, so that the
	// time of Verify does not show whether an identifier exists.
	placeholder StoredKey
}

// New returns an empty ring.
func New() *Ring { return NewFrom(settings.TableImage[StoredKey]{}) }

// NewFrom restores a ring from its image.
func NewFrom(image settings.TableImage[StoredKey]) *Ring {
	return &Ring{
		table:       settings.NewTableFrom(image),
		placeholder: StoredKey{Salt: make([]byte, saltBytes), Hash: make([]byte, sha256.Size)},
	}
}

// Image returns the serializable form. It shares the entries with the ring.
func (r *Ring) Image() settings.TableImage[StoredKey] { return r.table.Image() }

// CheckBase returns a *settings.ConflictError if the key was changed after the base
// offset of the record. It returns another error if the record changes the account or
// the secret, resets a withdrawal or postpones the expiry.
func (r *Ring) CheckBase(record StoredKey) error {
	if err := r.table.Check(record.ID, record.Base); err != nil {
		return err
	}
	entry, ok := r.table.Get(record.ID)
	if !ok {
		return nil
	}
	old := entry.Value
	switch {
	case old.Account != record.Account:
		return errors.Errorf("key %s is bound to another account", record.ID)
	case !bytes.Equal(old.Salt, record.Salt) || !bytes.Equal(old.Hash, record.Hash):
		return errors.Errorf("key %s is stored with another salt or hash", record.ID)
	case old.Withdrawn && !record.Withdrawn:
		return errors.Errorf("key %s was withdrawn and cannot be restored", record.ID)
	case old.ExpiresAt != 0 && (record.ExpiresAt == 0 || record.ExpiresAt > old.ExpiresAt):
		return errors.Errorf("expiry of key %s cannot be postponed", record.ID)
	}
	return nil
}

// Apply stores a record that passed Check and CheckBase. offset is the record's
// offset on the control stream.
func (r *Ring) Apply(record StoredKey, offset spool.Offset) {
	record.Base = 0
	r.table.Put(record.ID, record, offset)
}

// Verify returns the account and the identifier of a key that is valid at now. It
// does the same work whether the identifier exists or not and compares the hashes in
// constant time. It fails with ErrUnknown or ErrWithdrawn, neither of which contains
// the key. With ErrWithdrawn it returns the identifier too.
func (r *Ring) Verify(text string, now clock.Millis) (spool.AccountID, string, error) {
	key, parseErr := ParseKey(text)
	stored := r.placeholder
	entry, known := r.table.Get(key.id)
	if known {
		stored = entry.Value
	}
	matches := hmac.Equal(keyHash(stored.Salt, key.id, key.secret), stored.Hash)
	if parseErr != nil || !known || !matches {
		return "", "", ErrInvalidKey
	}
	if !stored.ValidAt(now) {
		return "", key.id, ErrWithdrawn
	}
	return stored.Account, key.id, nil
}

// Get returns the stored form of a key and the offset of its last change. It returns
// false if there is no such key.
func (r *Ring) Get(id string) (StoredKey, spool.Offset, bool) {
	entry, ok := r.table.Get(id)
	return entry.Value, entry.Offset, ok
}

// List returns the stored keys, sorted by identifier.
func (r *Ring) List() []StoredKey {
	var list []StoredKey
	for _, id := range r.table.Names() {
		entry, _ := r.table.Get(id)
		list = append(list, entry.Value)
	}
	return list
}

// Sweep drops the keys that were withdrawn at or before offset through. An expired
// key is kept, because the state must not depend on a clock.
func (r *Ring) Sweep(through spool.Offset) {
	for _, id := range r.table.Names() {
		if entry, _ := r.table.Get(id); entry.Value.Withdrawn && entry.Offset <= through {
			r.table.Remove(id, entry.Offset)
		}
	}
	r.table.Sweep(through)
}

// Len returns the number of stored keys, including withdrawn ones.
func (r *Ring) Len() int { return r.table.Len() }
