package cli

import (
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/multierr"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/gateway"
	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/platform"
)

// gatewayProcess is a gateway that can reload its settings file.
type gatewayProcess struct {
	*gateway.Gateway
	// path is the path of the platform's settings file, which Reload reads again.
	path string
}

// Reload reads the settings file again and applies the seed addresses of other gateways.
// All other settings need a restart. If the file is not valid, Reload changes nothing.
func (p *gatewayProcess) Reload() error {
	settings, err := platform.LoadSettings(p.path)
	if err != nil {
		return err
	}
	if err := multierr.Combine(settings.Validate()...); err != nil {
		return errors.Wrap(err, "settings")
	}
	p.SetSeeds(settings.Seeds)
	return nil
}

// priorityUrgencyVariable is the environment variable with the default of
// --priority-urgency.
const priorityUrgencyVariable = "BAOBABSPOOL_PRIORITY_URGENCY"

func newGateway() *cobra.Command {
	var flags processFlags
	path := os.Getenv(platform.SettingsVariable)
	priorityUrgency := os.Getenv(priorityUrgencyVariable) == "true"
	command := &cobra.Command{
		Use:   "gateway",
		Short: "Run a gateway, the process that callers of a platform deployment talk to",
		Long: `Run a gateway, the process that callers of a platform deployment talk to. It
reads the platform's settings file and follows the configuration, the endpoints
and the other gateways in the platform's store. SIGTERM lets the requests in flight
finish.`,
		Example: `  baobabspool gateway --settings-file /etc/baobabspool/settings.toml`,
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			flags.watchSignals()
			settings, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			settings.Balancing.PriorityUrgency = priorityUrgency
			validate := func() error {
				return errors.Wrap(multierr.Combine(settings.Validate()...), "settings")
			}
			return flags.serve(string(settings.Node), "gateway", validate, func(t *telemetry.Telemetry) (stopper, []zap.Field, error) {
				gateway.LimitMemory(settings.MemoryMB)
				systemClock := clock.System()
				client := httpconn.NewClient(systemClock)
				meter, err := telemetry.NewStoreMeter(t)
				if err != nil {
					return nil, nil, err
				}
				store := platform.NewStore(settings.StoreAddress, client, platform.WithObserver(meter))
				g, err := gateway.New(settings, store, platform.Codec{}, client, systemClock, t)
				if err != nil {
					return nil, nil, err
				}
				return &gatewayProcess{Gateway: g, path: path}, []zap.Field{zap.String("address", g.Address())}, nil
			})
		},
	}
	command.Flags().StringVar(&path, "settings-file", path, "path of the platform's settings file; the default is in "+platform.SettingsVariable)
	command.Flags().BoolVar(&priorityUrgency, "priority-urgency", priorityUrgency, "derive the urgency at engines from the priority alone and not from the slack of programs; the default is in "+priorityUrgencyVariable)
	flags.register(command)
	return command
}
