package cli

import (
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/config"
	"github.com/baobabspool/baobabspool/internal/process"
	"github.com/baobabspool/baobabspool/internal/telemetry"
)

func newEntry() *cobra.Command {
	settings := process.DefaultEntryConfig()
	var flags processFlags
	command := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry, the process that callers talk to",
		Long: `Run an entry, the process that callers talk to. It checks keys, owns the
programs of the log streams that it has claimed, and routes their calls to the
agents beside the endpoints. SIGTERM lets the requests in flight finish and hands
the streams over.`,
		Example: `  baobabspool entry --node e1 --region sn-west --failure-domain ndar-a \
    --listen 127.0.0.1:7001 --http-listen 127.0.0.1:8081 \
    --vms-address 127.0.0.1:9001 --log-address 127.0.0.1:9000`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return flags.serve(settings.Node, "entry", settings.Validate, func(t *telemetry.Telemetry) (stopper, []zap.Field, error) {
				entry, err := process.NewEntry(settings, t)
				if err != nil {
					return nil, nil, err
				}
				return entry, []zap.Field{zap.String("address", entry.Address()), zap.String("http", entry.HTTPAddress())}, nil
			})
		},
	}
	command.Flags().StringVar(&settings.Node, "node", settings.Node, "name of this process, as in the list of VMs")
	command.Flags().StringVar(&settings.Region, "region", settings.Region, "region of this VM")
	command.Flags().StringVar(&settings.FailureDomain, "failure-domain", settings.FailureDomain, "failure domain of this VM")
	command.Flags().StringVar(&settings.Listen, "listen", settings.Listen, "IP address and port for messages between processes")
	command.Flags().StringVar(&settings.HTTPListen, "http-listen", settings.HTTPListen, "IP address and port of the callers' API, /metrics, /healthz and /readyz")
	command.Flags().StringVar(&settings.VMsAddress, "vms-address", settings.VMsAddress, "IP address and port of the platform's list of VMs")
	command.Flags().StringVar(&settings.LogAddress, "log-address", settings.LogAddress, "IP address and port of the platform's log")
	command.Flags().IntVar(&settings.StreamCount, "streams", settings.StreamCount, "number of program streams, the same at every entry and never changed")
	command.Flags().IntVar(&settings.LogReaders, "log-readers", settings.LogReaders, "entries of each failure domain that read the control stream from the log, the others pull from them; 0 for all")
	registerVMReadersFlag(command, &settings.VMReaders)
	command.Flags().Int64Var(&settings.RetentionMs, "retention-ms", settings.RetentionMs, "how long the log keeps records, in milliseconds")
	command.Flags().Int64Var(&settings.LameDuckMs, "lame-duck-ms", settings.LameDuckMs, "time between /readyz turning false and the end of accepting, in milliseconds")
	command.Flags().StringVar(&settings.HTTPTLS.Cert, "http-tls-cert", "", "PEM file with the certificate of the callers' API; empty for plain HTTP")
	command.Flags().StringVar(&settings.HTTPTLS.Key, "http-tls-key", "", "PEM file with its key")
	registerTLSFlags(command, &settings.TLS)
	registerTLSReloadFlag(command, &settings.TLSReloadMs)
	flags.register(command)
	config.BindEnvironment(command)
	return command
}
