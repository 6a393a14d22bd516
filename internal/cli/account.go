package cli

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// NewAccount returns the commands that add, close and list client accounts.
func NewAccount(options ...Option) *cobra.Command {
	o := newOperatorOptions(options)
	return commandGroup("account", "Add, close and list client accounts",
		"  baobabspool account add acme --description \"Rug appraisals\"\n  baobabspool account list --json",
		o.accountAdd(), o.accountClose(), o.accountList())
}

func (o *operatorOptions) accountAdd() *cobra.Command {
	var description string
	command := &cobra.Command{
		Use:     "add ID",
		Short:   "Add an account, or open a closed one again",
		Example: "  baobabspool account add acme",
		Args:    cobra.ExactArgs(1),
	}
	command.Flags().StringVar(&description, "description", "", "text for operators")
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		state, err := s.readState()
		if err != nil {
			return err
		}
		id := spool.AccountID(args[0])
		if old, ok := state.Account(id); ok && !old.Closed && old.Description == description {
			return errors.Wrapf(errUsage, "account %q exists", id)
		}
		return s.publish(control.Account{ID: id, Description: description})
	})
}

func (o *operatorOptions) accountClose() *cobra.Command {
	command := &cobra.Command{
		Use:     "close ID",
		Short:   "Close an account; its keys stop working within seconds",
		Example: "  baobabspool account close acme",
		Args:    cobra.ExactArgs(1),
	}
	return o.controlCommand(command, func(s *controlSession, args []string) error {
		state, err := s.readState()
		if err != nil {
			return err
		}
		account, ok := state.Account(spool.AccountID(args[0]))
		if !ok {
			return errors.Wrapf(errNotFound, "account %q", args[0])
		}
		account.Closed = true
		return s.publish(account)
	})
}

// listedAccount is an account in the output of account list. Keys is the number of its
// keys that are neither withdrawn nor expired.
type listedAccount struct {
	control.Account
	Keys int `json:"keysInForce"`
}

func (o *operatorOptions) accountList() *cobra.Command {
	command := &cobra.Command{
		Use:     "list",
		Short:   "List the accounts",
		Example: "  baobabspool account list",
		Args:    cobra.NoArgs,
	}
	return o.controlCommand(command, func(s *controlSession, _ []string) error {
		state, err := s.readState()
		if err != nil {
			return err
		}
		keys := map[spool.AccountID]int{}
		for _, stored := range state.Keys().List() {
			if stored.ValidAt(s.publisher.Now()) {
				keys[stored.Account]++
			}
		}
		list := []listedAccount{}
		for _, account := range state.Accounts() {
			list = append(list, listedAccount{Account: account, Keys: keys[account.ID]})
		}
		return s.print(list, func(w io.Writer) {
			for _, account := range list {
				status := "open"
				if account.Closed {
					status = "closed"
				}
				_, _ = fmt.Fprintf(w, "%s\t%s\t%d keys\t%s\n", account.ID, status, account.Keys, account.Description)
			}
		})
	})
}
