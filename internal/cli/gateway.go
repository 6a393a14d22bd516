package cli

import (
	"fmt"
	"math"
	"os"
	"slices"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/multierr"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/config"
	"github.com/baobabspool/baobabspool/internal/gateway"
	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/spill"
	"github.com/baobabspool/baobabspool/pkg/spool"
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

func newGateway() *cobra.Command {
	var flags processFlags
	var balancing spool.BalancingSettings
	path := os.Getenv(platform.SettingsVariable)
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
			balancing.Enabled = settings.Balancing.Enabled
			settings.Balancing = balancing
			validate := func() error {
				return multierr.Append(errors.Wrap(multierr.Combine(settings.Validate()...), "settings"), validateBalancing(balancing))
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
	command.Flags().BoolVar(&balancing.SlackUrgency, "slack-urgency", false, "derive the urgency at engines from the slack of programs and not from the priority alone")
	command.Flags().StringVar(&balancing.Policy, policyFlag, endpoints.PolicyOccupancy, fmt.Sprintf("policy that picks endpoints if the settings file turns balancing on, one of %v", endpoints.Policies.Names()))
	command.Flags().Float64Var(&balancing.CrossingMillisPerKB, millisPerKBFlag, spill.DefaultMillisPerKB, "price of a request that leaves the failure domain, in milliseconds per KB; used if the settings file turns balancing on")
	command.Flags().Float64Var(&balancing.MaxReceiveLoad, maxReceiveLoadFlag, spill.DefaultMaxReceiveLoad, "part of the slots of other failure domains, from 0 to 1, up to which requests are sent there; 0 keeps requests at home while an endpoint there can be used")
	flags.register(command)
	config.BindEnvironment(command)
	return command
}

// Flags of BalancingSettings.
const (
	policyFlag         = "endpoint-policy"
	millisPerKBFlag    = "crossing-millis-per-kb"
	maxReceiveLoadFlag = "max-receive-load"
)

// validateBalancing returns an error for each value that is out of range.
func validateBalancing(settings spool.BalancingSettings) error {
	var problems config.Problems
	if !slices.Contains(endpoints.Policies.Names(), settings.Policy) {
		problems.Add("--"+policyFlag, "is %q, it must be one of %v", settings.Policy, endpoints.Policies.Names())
	}
	if price := settings.CrossingMillisPerKB; !(price >= 0) || math.IsInf(price, 0) {
		problems.Add("--"+millisPerKBFlag, "is %g, it must be a number of at least 0", price)
	}
	if load := settings.MaxReceiveLoad; !(load >= 0 && load <= 1) {
		problems.Add("--"+maxReceiveLoadFlag, "is %g, it must be between 0 and 1", load)
	}
	return problems.Err()
}
