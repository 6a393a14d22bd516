// Command standin runs one stand-in of the platform as a process of its own:
// the log, the list of VMs, a model engine or a plain service. Each has a
// control port with its fault switches: GET shows them, POST sets them.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/standin"
)

func main() {
	if err := newRoot().Execute(); err != nil {
		os.Exit(1)
	}
}

// flags are common to all stand-ins.
type flags struct {
	address  string
	control  string
	settings string
	seed     uint64
}

// starter starts one stand-in.
type starter func(f flags) (*standin.Server, error)

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Run a small stand-in of the platform",
		SilenceUsage: true,
	}
	root.AddCommand(
		newCommand("log", "Run the append-only log", startLog),
		newCommand("vms", "Run the list of VMs", startVMs),
		newCommand("engine", "Run a model engine", startEngine),
		newCommand("service", "Run a plain service", startService),
	)
	return root
}

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
	command.Flags().StringVar(&f.control, "control", "127.0.0.1:0", "host:port of the fault switches")
	command.Flags().StringVar(&f.settings, "settings", "", "JSON settings, as the control port takes them")
	command.Flags().Uint64Var(&f.seed, "seed", 1, "seed of random faults")
	return command
}

func decode(text string, into any) (err error) {
	defer func() { err = errors.Wrap(err, "settings") }()
	if text == "" {
		return nil
	}
	return json.Unmarshal([]byte(text), into)
}

func startLog(f flags) (*standin.Server, error) {
	log := standin.NewLog(f.seed)
	faults := log.Faults()
	if err := decode(f.settings, &faults); err != nil {
		return nil, err
	}
	log.SetFaults(faults)
	return standin.ServeLog(log, f.address, f.control)
}

func startVMs(f flags) (*standin.Server, error) {
	settings := standin.VMSettings{}
	if err := decode(f.settings, &settings); err != nil {
		return nil, err
	}
	list := standin.NewVMList(settings.LagMs)
	list.Set(settings)
	return standin.ServeVMs(list, f.address, f.control)
}

func startEngine(f flags) (*standin.Server, error) {
	settings := standin.DefaultEngineSettings()
	if err := decode(f.settings, &settings); err != nil {
		return nil, err
	}
	return standin.ServeEngine(standin.NewEngine(settings, f.seed), f.address, f.control)
}

func startService(f flags) (*standin.Server, error) {
	service := standin.NewService()
	faults := service.Faults()
	if err := decode(f.settings, &faults); err != nil {
		return nil, err
	}
	service.SetFaults(faults)
	return standin.ServeService(service, f.address, f.control)
}
