package cli

import (
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/config"
	"github.com/baobabspool/baobabspool/internal/process"
	"github.com/baobabspool/baobabspool/internal/telemetry"
)

func newEndpoint() *cobra.Command {
	var settings process.EndpointConfig
	var flags processFlags
	command := &cobra.Command{
		Use:   "endpoint",
		Short: "Run the agent beside one model engine or plain service",
		Long: `Run the agent beside one model engine or plain service. It is the last gate
before its endpoint: every call of every entry passes its queue, its concurrency
window and its at-most-once check. SIGTERM lets the calls in flight finish.`,
		Example: `  baobabspool endpoint --node m1 --region sn-west --failure-domain ndar-a \
    --listen 127.0.0.1:7101 --vms-address 127.0.0.1:9001 --engine-address 127.0.0.1:9201`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return flags.serve(settings.Node, "endpoint", settings.Validate, func(t *telemetry.Telemetry) (stopper, []zap.Field, error) {
				endpoint, err := process.NewEndpoint(settings, t)
				if err != nil {
					return nil, nil, err
				}
				return endpoint, []zap.Field{zap.String("address", endpoint.Address())}, nil
			})
		},
	}
	command.Flags().StringVar(&settings.Node, "node", "", "name of this process and its endpoint, as in the list of VMs")
	command.Flags().StringVar(&settings.Region, "region", "", "region of this VM")
	command.Flags().StringVar(&settings.FailureDomain, "failure-domain", "", "failure domain of this VM")
	command.Flags().StringVar(&settings.Listen, "listen", "127.0.0.1:7100", "IP address and port for messages between processes")
	command.Flags().StringVar(&settings.HTTPListen, "http-listen", "", "IP address and port of /metrics, /healthz and /readyz; empty for none")
	command.Flags().StringVar(&settings.VMsAddress, "vms-address", "", "IP address and port of the platform's list of VMs")
	registerVMReadersFlag(command, &settings.VMReaders)
	command.Flags().StringVar(&settings.EngineAddress, "engine-address", "", "IP address and port of the model engine")
	command.Flags().StringVar(&settings.ServiceAddress, "service-address", "", "IP address and port of the plain service")
	registerTLSFlags(command, &settings.TLS)
	registerTLSReloadFlag(command, &settings.TLSReloadMs)
	flags.register(command)
	config.BindEnvironment(command)
	return command
}
