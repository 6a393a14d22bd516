package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// NewKey returns the commands that issue, list, rotate and withdraw keys.
func NewKey(options ...Option) *cobra.Command {
	o := newOperatorOptions(options)
	return commandGroup("key", "Issue, list, rotate and withdraw keys",
		"  baobabspool key issue acme --expires-in 720h\n  baobabspool key withdraw 3k5q...",
		o.keyIssue(), o.keyList(), o.keyWithdraw(), o.keyRotate())
}

// issuedKey is the output of key issue and key rotate, the only output that contains
// the secret of a key.
type issuedKey struct {
	Key       string          `json:"key"`
	ID        string          `json:"id"`
	Account   spool.AccountID `json:"account"`
	ExpiresAt clock.Millis    `json:"expiresAtMs,omitempty"`
	Offset    spool.Offset    `json:"offset"`
	// OldExpiresAt is the time in milliseconds from which the replaced key is rejected; 0
	// in the output of key issue.
	OldExpiresAt clock.Millis `json:"oldExpiresAtMs,omitempty"`
}

func (s *controlSession) printIssued(result issuedKey) error {
	return s.print(result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s\n", result.Key)
		_, _ = fmt.Fprintf(w, "The key is shown only now. Account %s, identifier %s, expires %s, offset %d.\n",
			result.Account, result.ID, formatExpiry(result.ExpiresAt), result.Offset)
		if result.OldExpiresAt != 0 {
			_, _ = fmt.Fprintf(w, "The old key works until %s.\n", formatTime(result.OldExpiresAt))
		}
	})
}

func (o *operatorOptions) keyIssue() *cobra.Command {
	var expiresIn time.Duration
	command := &cobra.Command{
		Use:     "issue ACCOUNT",
		Short:   "Issue a key for an account and show it once",
		Example: "  baobabspool key issue acme --expires-in 720h",
		Args:    cobra.ExactArgs(1),
	}
	command.Flags().DurationVar(&expiresIn, "expires-in", 0, "time until the key expires; 0 for never")
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		expiresAt, err := s.expiresAt(expiresIn)
		if err != nil {
			return err
		}
		key, stored, err := keyring.Issue(spool.AccountID(args[0]), s.publisher.Now(), expiresAt)
		if err != nil {
			return err
		}
		offset, err := s.publisher.Publish(s.ctx, stored)
		if err != nil {
			return errors.Wrapf(err, "key %s", stored.ID)
		}
		return s.printIssued(issuedKey{Key: key.Reveal(), ID: key.ID(), Account: stored.Account, ExpiresAt: expiresAt, Offset: offset})
	})
}

// expiresAt returns the time at which a key with the given lifetime expires. A lifetime
// of 0 means never, and the result is then 0. A negative lifetime is a usage error.
func (s *controlSession) expiresAt(lifetime time.Duration) (clock.Millis, error) {
	if lifetime < 0 {
		return 0, errors.Wrap(errUsage, "expires-in must not be negative")
	}
	if lifetime == 0 {
		return 0, nil
	}
	return s.publisher.Now() + clock.FromDuration(lifetime), nil
}

func (o *operatorOptions) keyRotate() *cobra.Command {
	var expiresIn, overlap time.Duration
	command := &cobra.Command{
		Use:     "rotate ID",
		Short:   "Issue a new key for the same account and let the old one expire",
		Long:    "Issue a new key for the same account and let the old one expire after the overlap, in one batch: both or neither.",
		Example: "  baobabspool key rotate 3k5q... --overlap 24h",
		Args:    cobra.ExactArgs(1),
	}
	command.Flags().DurationVar(&expiresIn, "expires-in", 0, "time until the new key expires; 0 for never")
	command.Flags().DurationVar(&overlap, "overlap", time.Hour, "how long the old key still works")
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		replaced, err := s.findKey(args[0])
		if err != nil {
			return err
		}
		if !replaced.ValidAt(s.publisher.Now()) {
			return errors.Wrapf(errUsage, "key %s is not in force, issue a new one", replaced.ID)
		}
		if overlap <= 0 {
			return errors.Wrap(errUsage, "overlap must be positive")
		}
		expiresAt, err := s.expiresAt(expiresIn)
		if err != nil {
			return err
		}
		key, stored, err := keyring.Issue(replaced.Account, s.publisher.Now(), expiresAt)
		if err != nil {
			return err
		}
		overlapEnd := s.publisher.Now() + clock.FromDuration(overlap)
		if replaced.ExpiresAt == 0 || replaced.ExpiresAt > overlapEnd {
			replaced.ExpiresAt = overlapEnd
		}
		offset, err := s.publisher.Publish(s.ctx, stored, replaced)
		if err != nil {
			return errors.Wrapf(err, "new key %s", stored.ID)
		}
		return s.printIssued(issuedKey{
			Key: key.Reveal(), ID: key.ID(), Account: stored.Account, ExpiresAt: expiresAt,
			Offset: offset, OldExpiresAt: replaced.ExpiresAt,
		})
	})
}

// findKey reads the control stream and returns the stored key with an identifier. id may
// also be the whole key, in case an operator has only that. Errors never contain the
// secret.
func (s *controlSession) findKey(id string) (keyring.StoredKey, error) {
	if key, err := keyring.ParseKey(id); err == nil {
		id = key.ID()
	}
	state, err := s.readState()
	if err != nil {
		return keyring.StoredKey{}, err
	}
	stored, _, ok := state.Keys().Get(id)
	if !ok {
		return keyring.StoredKey{}, errors.Wrap(errNotFound, "no key has this identifier")
	}
	return stored, nil
}

func (o *operatorOptions) keyWithdraw() *cobra.Command {
	command := &cobra.Command{
		Use:     "withdraw ID [ID...]",
		Short:   "Withdraw keys for good; connected callers are cut off within seconds",
		Example: "  baobabspool key withdraw 3k5q...",
		Args:    cobra.MinimumNArgs(1),
	}
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		var contents []any
		for _, id := range args {
			stored, err := s.findKey(id)
			if err != nil {
				return err
			}
			stored.Withdrawn = true
			contents = append(contents, stored)
		}
		return s.publish(contents...)
	})
}

// listedKey is a key in the output of key list, without its salt and hash.
type listedKey struct {
	ID        string          `json:"id"`
	Account   spool.AccountID `json:"account"`
	State     string          `json:"state"`
	IssuedAt  clock.Millis    `json:"issuedAtMs"`
	ExpiresAt clock.Millis    `json:"expiresAtMs,omitempty"`
}

func (o *operatorOptions) keyList() *cobra.Command {
	var account string
	command := &cobra.Command{
		Use:     "list",
		Short:   "List keys by identifier",
		Example: "  baobabspool key list --account acme --json",
		Args:    cobra.NoArgs,
	}
	command.Flags().StringVar(&account, "account", "", "only keys of this account")
	return o.controlCommand(command, func(s *controlSession, _ []string) error {
		state, err := s.readState()
		if err != nil {
			return err
		}
		list := []listedKey{}
		for _, stored := range state.Keys().List() {
			if account == "" || stored.Account == spool.AccountID(account) {
				list = append(list, listedKey{
					ID: stored.ID, Account: stored.Account, State: keyState(stored, s.publisher.Now()),
					IssuedAt: stored.IssuedAt, ExpiresAt: stored.ExpiresAt,
				})
			}
		}
		return s.print(list, func(w io.Writer) {
			for _, key := range list {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\tissued %s\texpires %s\n", key.ID, key.Account, key.State, formatTime(key.IssuedAt), formatExpiry(key.ExpiresAt))
			}
		})
	})
}

func keyState(stored keyring.StoredKey, now clock.Millis) string {
	switch {
	case stored.Withdrawn:
		return "withdrawn"
	case !stored.ValidAt(now):
		return "expired"
	default:
		return "in force"
	}
}

func formatExpiry(at clock.Millis) string {
	if at == 0 {
		return "never"
	}
	return formatTime(at)
}

func toTime(at clock.Millis) time.Time { return time.UnixMilli(int64(at)) }
