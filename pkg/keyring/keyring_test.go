package keyring_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestKeyring(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "keyring")
}

var _ = ginkgo.Describe("Ring", func() {
	var (
		ring   *keyring.Ring
		key    keyring.Key
		stored keyring.StoredKey
	)

	ginkgo.BeforeEach(func() {
		var err error
		ring = keyring.New()
		key, stored, err = keyring.Issue("acme", 10, 1000)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ring.Apply(stored, 1)
	})

	ginkgo.It("accepts the key until it expires", func() {
		account, id, err := ring.Verify(key.Reveal(), 999)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(account).To(gomega.Equal(spool.AccountID("acme")))
		gomega.Expect(id).To(gomega.Equal(key.ID()))
		_, _, err = ring.Verify(key.Reveal(), 1000)
		gomega.Expect(err).To(gomega.MatchError(keyring.ErrWithdrawn))
	})

	// Guards against errors that reveal which key identifiers exist.
	ginkgo.It("does not tell a wrong secret from an unknown key, even for a withdrawn one", func() {
		stored.Withdrawn = true
		ring.Apply(stored, 2)
		other, _, err := keyring.Issue("acme", 10, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		mixed := "bsk_" + key.ID() + "_" + strings.SplitN(other.Reveal(), "_", 3)[2]
		for _, text := range []string{mixed, other.Reveal(), "", "bsk_", key.Reveal() + "x", strings.ToUpper(key.Reveal())} {
			_, _, err := ring.Verify(text, 20)
			gomega.Expect(err).To(gomega.MatchError(keyring.ErrInvalidKey), text)
		}
	})

	// Guards against a record that restores a withdrawn key, postpones its expiry, or changes
	// its account or secret.
	ginkgo.It("refuses records that revive, rebind, extend or replace a key", func() {
		for _, change := range []func(*keyring.StoredKey){
			func(s *keyring.StoredKey) { s.Account = "other" },
			func(s *keyring.StoredKey) { s.Hash = make([]byte, 32) },
			func(s *keyring.StoredKey) { s.ExpiresAt = 1001 },
			func(s *keyring.StoredKey) { s.ExpiresAt = 0 },
			func(s *keyring.StoredKey) { s.Base = 0 },
		} {
			record := stored
			record.Base = 1
			change(&record)
			gomega.Expect(ring.CheckBase(record)).NotTo(gomega.Succeed())
		}
		withdrawn := stored
		withdrawn.Withdrawn = true
		ring.Apply(withdrawn, 2)
		stored.Base = 2
		gomega.Expect(ring.CheckBase(stored)).NotTo(gomega.Succeed())
	})

	// Guards against a secret in log lines or in encoded output.
	ginkgo.It("never shows the secret", func() {
		secret := strings.SplitN(key.Reveal(), "_", 3)[2]
		encoded, err := json.Marshal(map[string]any{"key": key, "stored": stored})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, text := range []string{
			fmt.Sprint(key), fmt.Sprintf("%+v %#v %q %x %s", key, key, key, key, &key), string(encoded),
			fmt.Sprintf("%+v", ring.List()),
		} {
			gomega.Expect(text).NotTo(gomega.ContainSubstring(secret))
			gomega.Expect(text).NotTo(gomega.ContainSubstring(fmt.Sprintf("%x", secret)))
		}
	})

	// Guards against a sweep that deletes a key too early, and against a record that restores
	// a deleted key.
	ginkgo.It("forgets withdrawn keys only after the sweep has passed them", func() {
		stored.Withdrawn = true
		ring.Apply(stored, 5)
		ring.Sweep(4)
		gomega.Expect(ring.Len()).To(gomega.Equal(1))
		ring.Sweep(5)
		gomega.Expect(ring.Len()).To(gomega.Equal(0))
		stored.Withdrawn, stored.Base = false, 4
		gomega.Expect(ring.CheckBase(stored)).NotTo(gomega.Succeed())
	})
})

// FuzzParseKey guards against a parser that panics, that accepts a text that differs from
// Reveal of the resulting key, or whose error contains the input.
func FuzzParseKey(f *testing.F) {
	f.Add("bsk_abcdefghijklmnop_" + strings.Repeat("a2", 26))
	f.Add("bsk__")
	f.Add("bsk_abc_def_ghi")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := keyring.ParseKey(text)
		if err == nil && key.Reveal() != text {
			t.Fatalf("ParseKey accepted a text that differs from the parsed key")
		}
		if err != nil && err.Error() != keyring.ErrMalformedKey.Error() {
			t.Fatalf("error depends on the input: %v", err)
		}
	})
}

// BenchmarkVerify measures Verify for a known and for an unknown key, which should take
// the same time.
func BenchmarkVerify(b *testing.B) {
	ring := keyring.New()
	key, stored, _ := keyring.Issue("acme", 1, 0)
	unknown, _, _ := keyring.Issue("acme", 1, 0)
	ring.Apply(stored, 1)
	for name, text := range map[string]string{"known": key.Reveal(), "unknown": unknown.Reveal()} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, _, _ = ring.Verify(text, 2)
			}
		})
	}
}
