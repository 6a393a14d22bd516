// Package config binds the flags of the commands to environment variables and
// collects the errors of a configuration, so that all of them are reported at once.
package config

import (
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// VariablePrefix is the prefix of the name of every environment variable.
const VariablePrefix = "BAOBABSPOOL_"

// EnvironmentVariable returns the name of the environment variable of a flag, for
// example BAOBABSPOOL_LOG_ADDRESS for "log-address".
func EnvironmentVariable(flag string) string {
	return VariablePrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// BindEnvironment makes command read each flag that is not given on the command line
// from its environment variable, and adds the name of the variable to the flag's
// help. The variables are read before the command's PreRunE. Call BindEnvironment after
// all flags and PreRunE have been set.
func BindEnvironment(command *cobra.Command) {
	command.Flags().VisitAll(func(flag *pflag.Flag) {
		flag.Usage += " [" + EnvironmentVariable(flag.Name) + "]"
	})
	previous := command.PreRunE
	command.PreRunE = func(command *cobra.Command, args []string) error {
		if err := applyEnvironment(command.Flags()); err != nil {
			return err
		}
		if previous == nil {
			return nil
		}
		return previous(command, args)
	}
}

// applyEnvironment sets the flags that were not given on the command line from their
// environment variables. It returns one error that lists all variables with an invalid
// value.
func applyEnvironment(flags *pflag.FlagSet) error {
	var problems Problems
	flags.VisitAll(func(flag *pflag.Flag) {
		value, set := os.LookupEnv(EnvironmentVariable(flag.Name))
		if !set || flag.Changed {
			return
		}
		if err := flags.Set(flag.Name, value); err != nil {
			problems.Add(EnvironmentVariable(flag.Name), "%v", err)
		}
	})
	return problems.Err()
}

// Problem is one error in a configuration.
type Problem struct {
	// Name is the name of the flag, setting or environment variable with the error.
	Name string
	// Reason says what is wrong with the value, for example "is required".
	Reason string
}

// Problems collects the errors of a configuration. The zero value is empty.
type Problems struct {
	problems []Problem
}

// Add records a problem with the flag, setting or variable name. format and args yield
// the reason, as in fmt.Sprintf.
func (p *Problems) Add(name, format string, args ...any) {
	p.problems = append(p.problems, Problem{Name: name, Reason: fmt.Sprintf(format, args...)})
}

// RequireNotNegative records a problem if value is negative.
func (p *Problems) RequireNotNegative(name string, value int) {
	if value < 0 {
		p.Add(name, "must not be negative")
	}
}

// RequireSet records a problem if value is empty.
func (p *Problems) RequireSet(name, value string) {
	if value == "" {
		p.Add(name, "is required")
	}
}

// RequireAddress records a problem if value does not have the form host:port or if the
// host is not an IP address. It does not check the port.
func (p *Problems) RequireAddress(name, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		p.Add(name, "%q is not host:port", value)
		return
	}
	if net.ParseIP(host) == nil {
		p.Add(name, "%q is not an IP address", host)
	}
}

// Err returns one error that lists all recorded problems, or nil if there are none.
func (p *Problems) Err() error {
	if len(p.problems) == 0 {
		return nil
	}
	lines := make([]string, len(p.problems))
	for i, problem := range p.problems {
		lines[i] = problem.Name + ": " + problem.Reason
	}
	return errors.New("configuration is not valid:\n  " + strings.Join(lines, "\n  "))
}
