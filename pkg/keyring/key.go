// Package keyring issues, stores and verifies the API keys of callers. A key is shown
// once, when it is issued. Only a salted HMAC of the key is stored, so the store does
// not reveal keys.
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
	// idBytes is the length of the random identifier. With 80 random bits, a collision
	// is too unlikely to be checked for.
	idBytes = 10
	// secretBytes is the length of the random secret. A secret of 256 random bits cannot
	// be guessed, so a fast hash is sufficient; passwords would need a slow one.
	secretBytes = 32
	saltBytes   = 32
	// idChars and secretChars are the numbers of base32 characters of the identifier and
	// the secret.
	idChars     = 16
	secretChars = 52
)

var base32Encoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// ErrMalformedKey means that a text does not have the form of a key. The error message
// does not contain the text, which may be a secret.
var ErrMalformedKey = errors.New("key is malformed")

// Key is an API key with its secret. Printing a Key or encoding it as text or JSON shows
// only the identifier. Reveal returns the whole key.
type Key struct {
	id     string
	secret string
}

// NewKey generates a key from the bytes of random, which must be cryptographically
// secure.
func NewKey(random io.Reader) (key Key, err error) {
	defer func() { err = errors.Wrap(err, "generate key") }()
	raw := make([]byte, idBytes+secretBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return Key{}, err
	}
	return Key{id: base32Encoding.EncodeToString(raw[:idBytes]), secret: base32Encoding.EncodeToString(raw[idBytes:])}, nil
}

// ParseKey parses a key of the form bsk_<id>_<secret>. It returns ErrMalformedKey for
// any other text. It does not check whether the key exists.
func ParseKey(text string) (Key, error) {
	rest, hasPrefix := strings.CutPrefix(text, keyPrefix)
	id, secret, hasSecret := strings.Cut(rest, "_")
	if !hasPrefix || !hasSecret || len(id) != idChars || len(secret) != secretChars || !isBase32(id) || !isBase32(secret) {
		return Key{}, ErrMalformedKey
	}
	return Key{id: id, secret: secret}, nil
}

// isBase32 reports whether all bytes belong to the alphabet of base32Encoding.
func isBase32(text string) bool {
	for i := range len(text) {
		if c := text[i]; (c < 'a' || c > 'z') && (c < '2' || c > '7') {
			return false
		}
	}
	return true
}

// ID returns the identifier of the key, which is not secret.
func (k Key) ID() string { return k.id }

// Reveal returns the whole key with its secret. It is meant to be called once, to
// show the key to the operator who issued it.
func (k Key) Reveal() string { return keyPrefix + k.id + "_" + k.secret }

// String returns the key with the secret replaced by "...".
func (k Key) String() string { return keyPrefix + k.id + "_..." }

// Format prints String for every verb, so that no verb shows the secret.
func (k Key) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, k.String()) }

// MarshalText returns the same text as String, so that an encoder cannot leak the secret.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// newSalt returns saltBytes random bytes, the salt of one key.
func newSalt() (salt []byte, err error) {
	salt = make([]byte, saltBytes)
	_, err = io.ReadFull(rand.Reader, salt)
	return salt, errors.Wrap(err, "generate salt")
}

// keyHash returns the HMAC-SHA-256 of "id_secret" with the salt as the HMAC key.
func keyHash(salt []byte, id, secret string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(id))
	mac.Write([]byte{'_'})
	mac.Write([]byte(secret))
	return mac.Sum(nil)
}
