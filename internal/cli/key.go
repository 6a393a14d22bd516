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

// NewKey returns the command for keys.
func NewKey(options ...Option) *cobra.Command {
	o := newOperator(options)
	return noun("key", "Issue, list, rotate and withdraw keys",
		"  baobabspool key issue acme --expires-in 720h\n  baobabspool key withdraw 3k5q...",
		o.keyIssue(), o.keyList(), o.keyWithdraw(), o.keyRotate())
}

// issued is the output of key issue and key rotate. It is the only place where
// a key is shown.
type issued struct {
	Key       string          `json:"key"`
	ID        string          `json:"id"`
	Account   spool.AccountID `json:"account"`
	ExpiresAt clock.Millis    `json:"expiresAtMs,omitempty"`
	Offset    spool.Offset    `json:"offset"`
	// OldExpiresAt is when the replaced key stops working.
	OldExpiresAt clock.Millis `json:"oldExpiresAtMs,omitempty"`
}

func (s *session) printIssued(result issued) error {
	return s.print(result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s\n", result.Key)
		_, _ = fmt.Fprintf(w, "The key is shown only now. Account %s, identifier %s, expires %s, offset %d.\n",
			result.Account, result.ID, expiry(result.ExpiresAt), result.Offset)
		if result.OldExpiresAt != 0 {
			_, _ = fmt.Fprintf(w, "The old key works until %s.\n", instant(result.OldExpiresAt))
		}
	})
}

func (o *operator) keyIssue() *cobra.Command {
	var expiresIn time.Duration
	command := &cobra.Command{
		Use:     "issue ACCOUNT",
		Short:   "Issue a key for an account and show it once",
		Example: "  baobabspool key issue acme --expires-in 720h",
		Args:    cobra.ExactArgs(1),
	}
	command.Flags().DurationVar(&expiresIn, "expires-in", 0, "time until the key expires; 0 for never")
	return o.verb(command, func(s *session, args []string) error {
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
		return s.printIssued(issued{Key: key.Reveal(), ID: key.ID(), Account: stored.Account, ExpiresAt: expiresAt, Offset: offset})
	})
}

func (s *session) expiresAt(in time.Duration) (clock.Millis, error) {
	if in < 0 {
		return 0, errors.Wrap(errUsage, "expires-in must not be negative")
	}
	if in == 0 {
		return 0, nil
	}
	return s.publisher.Now() + clock.FromDuration(in), nil
}

func (o *operator) keyRotate() *cobra.Command {
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
	return o.verb(command, func(s *session, args []string) error {
		old, err := s.key(args[0])
		if err != nil {
			return err
		}
		if !old.Live(s.publisher.Now()) {
			return errors.Wrapf(errUsage, "key %s is not in force, issue a new one", old.ID)
		}
		if overlap <= 0 {
			return errors.Wrap(errUsage, "overlap must be positive")
		}
		expiresAt, err := s.expiresAt(expiresIn)
		if err != nil {
			return err
		}
		key, stored, err := keyring.Issue(old.Account, s.publisher.Now(), expiresAt)
		if err != nil {
			return err
		}
		until := s.publisher.Now() + clock.FromDuration(overlap)
		if old.ExpiresAt == 0 || old.ExpiresAt > until {
			old.ExpiresAt = until
		}
		offset, err := s.publisher.Publish(s.ctx, stored, old)
		if err != nil {
			return errors.Wrapf(err, "new key %s", stored.ID)
		}
		return s.printIssued(issued{
			Key: key.Reveal(), ID: key.ID(), Account: stored.Account, ExpiresAt: expiresAt,
			Offset: offset, OldExpiresAt: old.ExpiresAt,
		})
	})
}

// key finds a stored key. Errors name the identifier only.
func (s *session) key(id string) (keyring.Stored, error) {
	if key, err := keyring.ParseKey(id); err == nil {
		id = key.ID()
	}
	state, err := s.state()
	if err != nil {
		return keyring.Stored{}, err
	}
	stored, _, ok := state.Keys().Get(id)
	if !ok {
		return keyring.Stored{}, errors.Wrap(errNotFound, "no key has this identifier")
	}
	return stored, nil
}

func (o *operator) keyWithdraw() *cobra.Command {
	command := &cobra.Command{
		Use:     "withdraw ID [ID...]",
		Short:   "Withdraw keys for good; connected callers are cut off within seconds",
		Example: "  baobabspool key withdraw 3k5q...",
		Args:    cobra.MinimumNArgs(1),
	}
	return o.verb(command, func(s *session, args []string) error {
		var contents []any
		for _, id := range args {
			stored, err := s.key(id)
			if err != nil {
				return err
			}
			stored.Withdrawn = true
			contents = append(contents, stored)
		}
		return s.publish(contents...)
	})
}

// listedKey is a key as it is listed: without salt and hash.
type listedKey struct {
	ID        string          `json:"id"`
	Account   spool.AccountID `json:"account"`
	State     string          `json:"state"`
	IssuedAt  clock.Millis    `json:"issuedAtMs"`
	ExpiresAt clock.Millis    `json:"expiresAtMs,omitempty"`
}

func (o *operator) keyList() *cobra.Command {
	var account string
	command := &cobra.Command{
		Use:     "list",
		Short:   "List keys by identifier",
		Example: "  baobabspool key list --account acme --json",
		Args:    cobra.NoArgs,
	}
	command.Flags().StringVar(&account, "account", "", "only keys of this account")
	return o.verb(command, func(s *session, _ []string) error {
		state, err := s.state()
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
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\tissued %s\texpires %s\n", key.ID, key.Account, key.State, instant(key.IssuedAt), expiry(key.ExpiresAt))
			}
		})
	})
}

func keyState(stored keyring.Stored, now clock.Millis) string {
	switch {
	case stored.Withdrawn:
		return "withdrawn"
	case !stored.Live(now):
		return "expired"
	default:
		return "in force"
	}
}

func expiry(at clock.Millis) string {
	if at == 0 {
		return "never"
	}
	return instant(at)
}

func timeOf(at clock.Millis) time.Time { return time.UnixMilli(int64(at)) }
