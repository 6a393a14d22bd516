// Command standin runs one simulated service of the platform as a separate process:
// the log, the list of VMs, a model engine, a plain service, the topic store or an
// endpoint behind gateways. All services except the endpoint have a control port for
// settings and fault injection: GET returns the settings, POST changes them.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/standin"
)

func main() {
	if err := newRoot().Execute(); err != nil {
		os.Exit(1)
	}
}

// flags are the command-line flags, which are common to all stand-ins. settings is JSON in
// the format of the stand-in's control port, except for the topic store, which takes
// topicsSettings, and the endpoint, which takes upstreamSettings.
type flags struct {
	address  string
	control  string
	settings string
	seed     uint64
}

// starter starts a stand-in with the given flags.
type starter func(f flags) (*standin.Server, error)

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Run a simulated service of the platform",
		SilenceUsage: true,
	}
	root.AddCommand(
		newCommand("log", "Run the append-only log", startLog),
		newCommand("vms", "Run the list of VMs", startVMs),
		newCommand("engine", "Run a model engine", startEngine),
		newCommand("service", "Run a plain service", startService),
		newCommand("topics", "Run the store of topics that gateways share", startTopics),
		newCommand("upstream", "Run an endpoint behind gateways", startUpstream),
	)
	return root
}

// newCommand returns the subcommand that runs one kind of stand-in until SIGTERM or
// SIGINT.
func newCommand(name, short string, start starter) *cobra.Command {
	var f flags
	command := &cobra.Command{
		Use:     name,
		Short:   short,
		Example: "  standin " + name + " --address 127.0.0.1:9000 --control 127.0.0.1:9100",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			server, err := start(f)
			if err != nil {
				return err
			}
			defer server.Close()
			fmt.Fprintf(command.OutOrStdout(), "%s listens on %s, control on %s\n", name, server.Address(), server.ControlAddress())
			stop := make(chan os.Signal, 1)
			signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
			<-stop
			return nil
		},
	}
	command.Flags().StringVar(&f.address, "address", "127.0.0.1:0", "host:port of the service")
	command.Flags().StringVar(&f.control, "control", "127.0.0.1:0", "host:port of the control port")
	command.Flags().StringVar(&f.settings, "settings", "", "JSON settings, in the format of the control port")
	command.Flags().Uint64Var(&f.seed, "seed", 1, "seed of random faults")
	return command
}

// decodeSettings decodes the JSON of the flag --settings over the defaults in into. Empty
// text changes nothing.
func decodeSettings(text string, into any) (err error) {
	defer func() { err = errors.Wrap(err, "settings") }()
	if text == "" {
		return nil
	}
	return json.Unmarshal([]byte(text), into)
}

func startLog(f flags) (*standin.Server, error) {
	log := standin.NewLog(f.seed)
	faults := log.Faults()
	if err := decodeSettings(f.settings, &faults); err != nil {
		return nil, err
	}
	log.SetFaults(faults)
	return standin.ServeLog(log, f.address, f.control)
}

func startVMs(f flags) (*standin.Server, error) {
	settings := standin.VMSettings{}
	if err := decodeSettings(f.settings, &settings); err != nil {
		return nil, err
	}
	list := standin.NewVMList(settings.LagMs)
	list.Set(settings)
	return standin.ServeVMs(list, f.address, f.control)
}

func startEngine(f flags) (*standin.Server, error) {
	settings := standin.DefaultEngineSettings()
	if err := decodeSettings(f.settings, &settings); err != nil {
		return nil, err
	}
	return standin.ServeEngine(standin.NewEngine(settings, f.seed), f.address, f.control)
}

// topicsSettings are the settings of a topic store: its initial records.
type topicsSettings struct {
	Records []struct {
		Topic string          `json:"topic"`
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value"`
	} `json:"records"`
}

func startTopics(f flags) (*standin.Server, error) {
	settings := topicsSettings{}
	if err := decodeSettings(f.settings, &settings); err != nil {
		return nil, err
	}
	topics := standin.NewTopics()
	for _, record := range settings.Records {
		topics.Put(record.Topic, record.Key, record.Value)
	}
	server, err := standin.ServeTopics(topics, f.address, f.control)
	if err != nil {
		return nil, err
	}
	return server.Server, nil
}

// upstreamSettings configure the responses of an endpoint.
type upstreamSettings struct {
	// ID is the identifier of the endpoint.
	ID string `json:"id"`
	// Events holds the data of the events of each response. If it is empty, the
	// endpoint responds without events.
	Events []string `json:"events"`
	// PauseMs is the pause after each event, in milliseconds.
	PauseMs int `json:"pauseMs"`
}

func startUpstream(f flags) (*standin.Server, error) {
	settings := upstreamSettings{ID: "upstream"}
	if err := decodeSettings(f.settings, &settings); err != nil {
		return nil, err
	}
	upstream, err := standin.NewUpstreamAt(f.address, settings.ID, nil)
	if err != nil {
		return nil, err
	}
	if len(settings.Events) > 0 {
		upstream.SetAnswer(func(conn io.Writer, request standin.UpstreamRequest) bool {
			return upstream.AnswerStream(conn, request, time.Duration(settings.PauseMs)*time.Millisecond, -1, settings.Events...)
		})
	}
	return upstream.Server(), nil
}

func startService(f flags) (*standin.Server, error) {
	service := standin.NewService()
	faults := service.Faults()
	if err := decodeSettings(f.settings, &faults); err != nil {
		return nil, err
	}
	service.SetFaults(faults)
	return standin.ServeService(service, f.address, f.control)
}
