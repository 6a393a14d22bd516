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
	// ErrInvalidKey means that the key is malformed, does not exist or has the wrong
	// secret. The error is the same in all cases, so that nobody can find out which
	// identifiers exist.
	ErrInvalidKey = errors.New("key is not valid")
	// ErrWithdrawn means that the key was withdrawn or has expired. It is returned
	// only if the secret is correct.
	ErrWithdrawn = errors.New("key was withdrawn or has expired")
)

// StoredKey is the stored form of a key without its secret, and the record of the key
// on the control stream.
type StoredKey struct {
	// ID is the public part of the key.
	ID string `json:"id"`
	// Account is the account that the key authenticates. CheckBase rejects a change.
	Account spool.AccountID `json:"account"`
	// Salt and Hash are the salt and the HMAC-SHA-256 of the key, 32 bytes each.
	// CheckBase rejects a change.
	Salt []byte `json:"salt"`
	Hash []byte `json:"hash"`
	// IssuedAt is the time of issue by the clock of the issuer, in milliseconds.
	IssuedAt clock.Millis `json:"issuedAtMs"`
	// ExpiresAt is the time from which the key is rejected, in milliseconds; 0 if it
	// never expires. A later record of the key may set an earlier time but not a later
	// one.
	ExpiresAt clock.Millis `json:"expiresAtMs,omitempty"`
	// Withdrawn is true once the key has been withdrawn. It cannot be reset.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Base is the offset up to which the author of the record had read the control
	// stream. The record is rejected if the key was changed after that offset. Stored
	// keys have 0.
	Base spool.Offset `json:"base"`
}

// Issue generates a key for account and returns it with its stored form, which the
// caller publishes. expiresAt is 0 for a key that never expires. The returned key is
// the only copy of the secret.
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

// Check checks the format of the record. The result depends only on the record, so that
// all readers of the control stream accept or reject the same records.
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

// ValidAt reports whether the key has neither been withdrawn nor expired at time now.
func (s StoredKey) ValidAt(now clock.Millis) bool {
	return !s.Withdrawn && (s.ExpiresAt == 0 || now < s.ExpiresAt)
}

// Ring holds the stored keys. Methods that only read, such as Verify and Get, may run
// concurrently with each other, but not with Apply or Sweep.
type Ring struct {
	table *settings.Table[StoredKey]
	// placeholder takes the place of the stored key if the identifier is unknown, so
	// that the duration of Verify does not reveal whether an identifier exists.
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

// Image returns the serializable form of the ring. The image shares its map with the
// ring, so it must be encoded or copied before the next call of Apply or Sweep.
func (r *Ring) Image() settings.TableImage[StoredKey] { return r.table.Image() }

// CheckBase returns a *settings.ConflictError if the key was changed after record.Base.
// It returns another error if the record changes the account or the secret of a stored
// key, cancels its withdrawal or postpones its expiry.
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

// Apply stores a record, which must have passed Check and CheckBase. offset is the
// offset of the record on the control stream.
func (r *Ring) Apply(record StoredKey, offset spool.Offset) {
	record.Base = 0
	r.table.Put(record.ID, record, offset)
}

// Verify returns the account and the identifier of a key that is valid at now. It
// does the same work whether the identifier exists or not and compares the hashes in
// constant time. It fails with ErrInvalidKey and no identifier, or with ErrWithdrawn
// and the identifier. Neither error contains the key.
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

// Get returns the stored form of the key with identifier id and the offset of its latest
// change. It returns false if there is no such key.
func (r *Ring) Get(id string) (StoredKey, spool.Offset, bool) {
	entry, ok := r.table.Get(id)
	return entry.Value, entry.Offset, ok
}

// List returns the stored keys, including withdrawn and expired ones, sorted by
// identifier.
func (r *Ring) List() []StoredKey {
	var list []StoredKey
	for _, id := range r.table.Names() {
		entry, _ := r.table.Get(id)
		list = append(list, entry.Value)
	}
	return list
}

// Sweep deletes the keys that were withdrawn at or before offset through. It keeps keys
// that have expired, because the state must be the same at all readers of the control
// stream and so must not depend on a clock.
func (r *Ring) Sweep(through spool.Offset) {
	for _, id := range r.table.Names() {
		if entry, _ := r.table.Get(id); entry.Value.Withdrawn && entry.Offset <= through {
			r.table.Remove(id, entry.Offset)
		}
	}
	r.table.Sweep(through)
}

// Len returns the number of stored keys, including withdrawn and expired ones.
func (r *Ring) Len() int { return r.table.Len() }
