package cli

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/multierr"

	"github.com/baobabspool/baobabspool/platform"
)

// NewCheck returns the command that validates the settings file and the
// configuration of a deployment without starting a process.
func NewCheck() *cobra.Command {
	path, configuration := os.Getenv(platform.SettingsVariable), ""
	command := &cobra.Command{
		Use:     "check",
		Short:   "Validate a settings file and a configuration without starting",
		Example: "  baobabspool check --settings-file settings.toml --configuration config.json",
		Args:    usageArgs(cobra.NoArgs), SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			err := multierr.Append(checkSettings(path), checkConfiguration(configuration))
			for _, problem := range multierr.Errors(err) {
				fmt.Fprintln(command.OutOrStdout(), problem)
			}
			if err != nil {
				return errors.Wrapf(errUsage, "%d problems", len(multierr.Errors(err)))
			}
			fmt.Fprintln(command.OutOrStdout(), "no problem found")
			return nil
		},
	}
	command.Flags().StringVar(&path, "settings-file", path, "path of the settings file; the default is in "+platform.SettingsVariable)
	command.Flags().StringVar(&configuration, "configuration", "", "path of a configuration as operators publish it; empty for none")
	return command
}

// checkSettings returns one combined error with every problem of the settings file at
// path, or nil.
func checkSettings(path string) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	return multierr.Combine(settings.Validate()...)
}

// checkConfiguration decodes and validates the configuration file at path. It returns nil
// if path is empty.
func checkConfiguration(path string) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	_, err = platform.Codec{}.DecodeOperator(platform.ConfigurationRecordKey, data)
	return errors.Wrapf(err, "configuration %q", path)
}
