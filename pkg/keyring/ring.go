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
	// ErrUnknown means that the key is malformed, does not exist or does not
	// match. The cases are not told apart, so that identifiers cannot be probed.
	ErrUnknown = errors.New("key is not valid")
	// ErrWithdrawn means that the key was withdrawn or has expired. It is
	// returned only to a caller who presents the right secret.
	ErrWithdrawn = errors.New("key was withdrawn or has expired")
)

// Stored is what is kept of a key, and the record on the control stream.
type Stored struct {
	// ID is the public part of the key.
	ID string `json:"id"`
	// Account is the account that the key speaks for; it never changes.
	Account spool.AccountID `json:"account"`
	// Salt and Hash are the salt and the HMAC-SHA-256 of the key; they never
	// change.
	Salt []byte `json:"salt"`
	Hash []byte `json:"hash"`
	// IssuedAt is the issuer's clock.
	IssuedAt clock.Millis `json:"issuedAtMs"`
	// ExpiresAt is the instant from which the key is refused; 0 for never. A
	// later record may bring it forward but never put it off.
	ExpiresAt clock.Millis `json:"expiresAtMs,omitempty"`
	// Withdrawn is final.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Base is the offset that the author had read.
	Base spool.Offset `json:"base"`
}

// Issue draws a key for account. The key is returned once and not kept.
func Issue(account spool.AccountID, now, expiresAt clock.Millis) (key Key, stored Stored, err error) {
	defer func() { err = errors.Wrapf(err, "issue key for account %q", account) }()
	key, err = NewKey(rand.Reader)
	if err != nil {
		return Key{}, Stored{}, err
	}
	salt, err := newSalt()
	if err != nil {
		return Key{}, Stored{}, err
	}
	return key, Stored{
		ID: key.id, Account: account, Salt: salt, Hash: keyHash(salt, key.id, key.secret),
		IssuedAt: now, ExpiresAt: expiresAt,
	}, nil
}

// Check checks the form of the record. The result depends on the record only.
func (s Stored) Check() error {
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
func (s Stored) Live(now clock.Millis) bool {
	return !s.Withdrawn && (s.ExpiresAt == 0 || now < s.ExpiresAt)
}

// Ring holds the stored keys. It is not safe for concurrent use; concurrent
// calls of Verify and Get alone are.
type Ring struct {
	table *settings.Table[Stored]
	// absent is verified against when the identifier is unknown, so that both
	// cases do the same work.
	placeholder Stored
}

// New returns an empty ring.
func New() *Ring { return NewFrom(settings.TableImage[Stored]{}) }

// NewFrom rebuilds a ring from its image.
func NewFrom(image settings.TableImage[Stored]) *Ring {
	return &Ring{
		table:       settings.NewTableFrom(image),
		placeholder: Stored{Salt: make([]byte, saltBytes), Hash: make([]byte, sha256.Size)},
	}
}

// Image returns the serialised form.
func (r *Ring) Image() settings.TableImage[Stored] { return r.table.Image() }

// CheckBase returns a *settings.ConflictError when the key changed after the
// base, and another error when the record breaks what must never change.
func (r *Ring) CheckBase(record Stored) error {
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
		return errors.Errorf("key %s has another secret", record.ID)
	case old.Withdrawn && !record.Withdrawn:
		return errors.Errorf("key %s was withdrawn, which is final", record.ID)
	case old.ExpiresAt != 0 && (record.ExpiresAt == 0 || record.ExpiresAt > old.ExpiresAt):
		return errors.Errorf("expiry of key %s cannot be put off", record.ID)
	}
	return nil
}

// Apply applies a record that passed Check and CheckBase.
func (r *Ring) Apply(record Stored, offset spool.Offset) {
	record.Base = 0
	r.table.Put(record.ID, record, offset)
}

// Verify returns the account and the identifier of a key. It does the same
// work whether the identifier exists or not and compares in constant time. It
// fails with ErrUnknown or ErrWithdrawn, neither of which contains the key.
func (r *Ring) Verify(text string, now clock.Millis) (spool.AccountID, string, error) {
	key, parseErr := ParseKey(text)
	stored := r.placeholder
	entry, known := r.table.Get(key.id)
	if known {
		stored = entry.Value
	}
	matches := hmac.Equal(keyHash(stored.Salt, key.id, key.secret), stored.Hash)
	if parseErr != nil || !known || !matches {
		return "", "", ErrUnknown
	}
	if !stored.Live(now) {
		return "", key.id, ErrWithdrawn
	}
	return stored.Account, key.id, nil
}

// Get returns the stored form of a key and the offset of its last change.
func (r *Ring) Get(id string) (Stored, spool.Offset, bool) {
	entry, ok := r.table.Get(id)
	return entry.Value, entry.Offset, ok
}

// List returns the stored keys in order of their identifiers.
func (r *Ring) List() []Stored {
	var list []Stored
	for _, id := range r.table.Names() {
		entry, _ := r.table.Get(id)
		list = append(list, entry.Value)
	}
	return list
}

// Sweep forgets the keys that were withdrawn up to offset through. A key that
// has only expired is kept, because the fold does not depend on a clock.
func (r *Ring) Sweep(through spool.Offset) {
	for _, id := range r.table.Names() {
		if entry, _ := r.table.Get(id); entry.Value.Withdrawn && entry.Offset <= through {
			r.table.Remove(id, entry.Offset)
		}
	}
	r.table.Sweep(through)
}

// Len counts the stored keys, withdrawn ones included.
func (r *Ring) Len() int { return r.table.Len() }
