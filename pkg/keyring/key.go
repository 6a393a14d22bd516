// Package keyring issues, stores and verifies the keys that callers present.
// A key is shown once, when it is issued; only a keyed hash of it is stored.
package keyring

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

const (
	keyPrefix = "bsk_"
	// idBytes give identifiers that never collide in practice; secretBytes
	// cannot be guessed, so a fast hash is sufficient.
	idBytes     = 10
	secretBytes = 32
	saltBytes   = 32
	idChars     = 16
	secretChars = 52
)

var base32Encoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// ErrBadKey means that a text does not have the form of a key. It never
// contains the text.
var ErrBadKey = errors.New("key is malformed")

// Key is a key in clear. Formatting it in any way shows only the identifier;
// Reveal returns the key itself.
type Key struct {
	id     string
	secret string
}

// NewKey draws a key from random, which must be cryptographically secure.
func NewKey(random io.Reader) (key Key, err error) {
	defer func() { err = errors.Wrap(err, "draw key") }()
	raw := make([]byte, idBytes+secretBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return Key{}, err
	}
	return Key{id: base32Encoding.EncodeToString(raw[:idBytes]), secret: base32Encoding.EncodeToString(raw[idBytes:])}, nil
}

// ParseKey parses bsk_<id>_<secret>. It fails with ErrBadKey.
func ParseKey(text string) (Key, error) {
	rest, hasPrefix := strings.CutPrefix(text, keyPrefix)
	id, secret, hasSecret := strings.Cut(rest, "_")
	if !hasPrefix || !hasSecret || len(id) != idChars || len(secret) != secretChars || !isBase32(id) || !isBase32(secret) {
		return Key{}, ErrBadKey
	}
	return Key{id: id, secret: secret}, nil
}

func isBase32(text string) bool {
	for i := range len(text) {
		if c := text[i]; (c < 'a' || c > 'z') && (c < '2' || c > '7') {
			return false
		}
	}
	return true
}

// ID returns the public identifier.
func (k Key) ID() string { return k.id }

// Reveal returns the key itself. It is called once, to show the key to the
// operator who issued it.
func (k Key) Reveal() string { return keyPrefix + k.id + "_" + k.secret }

// String returns the identifier with the secret left out.
func (k Key) String() string { return keyPrefix + k.id + "_..." }

// Format makes every verb print String.
func (k Key) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, k.String()) }

// MarshalText returns String, so that an encoder cannot leak the secret.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// newSalt draws the salt of one key.
func newSalt() (salt []byte, err error) {
	salt = make([]byte, saltBytes)
	_, err = io.ReadFull(rand.Reader, salt)
	return salt, errors.Wrap(err, "draw salt")
}

// digest returns the stored form of a key.
func keyHash(salt []byte, id, secret string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(id))
	mac.Write([]byte{'_'})
	mac.Write([]byte(secret))
	return mac.Sum(nil)
}
