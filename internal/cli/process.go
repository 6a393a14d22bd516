package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/process"
	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// processFlags holds the values of the flags that all commands for a process have.
type processFlags struct {
	logFormat string
	logLevel  string
	// shutdownMs is the longest wait for calls in flight at shutdown, in milliseconds.
	shutdownMs int64
	// signals receives the signals of the process from the call of watchSignals on.
	signals chan os.Signal
}

// watchSignals makes the process receive SIGTERM, SIGINT and SIGHUP as messages. A command
// calls it before it reads settings: a SIGHUP would otherwise end a process that starts,
// and one that comes while the settings are read must not be missed. Later calls have no
// effect.
func (f *processFlags) watchSignals() {
	if f.signals == nil {
		f.signals = make(chan os.Signal, 2)
		signal.Notify(f.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	}
}

func (f *processFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.logFormat, "log-format", "json", "format of the log, json or console")
	command.Flags().StringVar(&f.logLevel, "log-level", "info", "lowest level that is logged: debug, info, warn or error")
	command.Flags().Int64Var(&f.shutdownMs, "shutdown-ms", 60_000, "longest wait for calls in flight when the process is stopped, in milliseconds")
}

func (f *processFlags) telemetry(node string) (*telemetry.Telemetry, error) {
	logger, err := telemetry.NewLogger(f.logFormat, f.logLevel)
	if err != nil {
		return nil, err
	}
	return telemetry.New(spool.NodeID(node), logger)
}

// stopper is a process that can be shut down gracefully. Shutdown waits for the requests
// in flight, at most until ctx ends.
type stopper interface {
	Shutdown(ctx context.Context) error
}

func registerTLSFlags(command *cobra.Command, files *process.TLSFiles) {
	command.Flags().StringVar(&files.Cert, "tls-cert", "", "PEM file with the certificate for messages between processes; empty for plain TCP")
	command.Flags().StringVar(&files.Key, "tls-key", "", "PEM file with its key")
	command.Flags().StringVar(&files.CA, "tls-ca", "", "PEM file with the authority that signs the certificates of all processes")
}

func registerVMReadersFlag(command *cobra.Command, readers *int) {
	command.Flags().IntVar(readers, "vm-readers", *readers, "entries of each failure domain that read the list of VMs from the platform, all other processes pull from entries; 0 for all processes; the same at every process")
}

func registerTLSReloadFlag(command *cobra.Command, intervalMs *int64) {
	command.Flags().Int64Var(intervalMs, "tls-reload-ms", process.DefaultTLSReloadMs, "how often the certificate files are read again, in milliseconds")
}

// serve calls validate, starts a process with start, logs that it is ready and runs it
// until a signal stops it. node is the name of the process, and component the name of its
// logger. start returns the process and its addresses as log fields.
func (f *processFlags) serve(node, component string, validate func() error, start func(*telemetry.Telemetry) (stopper, []zap.Field, error)) error {
	f.watchSignals()
	if err := validate(); err != nil {
		return err
	}
	t, err := f.telemetry(node)
	if err != nil {
		return err
	}
	process, addresses, err := start(t)
	if err != nil {
		return err
	}
	logger := t.Logger(component)
	logger.Info("ready", addresses...)
	return f.runUntilSignal(process, logger)
}

// runUntilSignal waits for SIGTERM or SIGINT and then shuts the process down, for which
// the calls in flight have f.shutdownMs. A second SIGTERM or SIGINT ends their time at
// once. SIGHUP reloads the settings, but is ignored during the shutdown.
func (f *processFlags) runUntilSignal(process stopper, logger *zap.Logger) (err error) {
	defer func() { err = errors.Wrap(err, "shutdown") }()
	defer func() { _ = logger.Sync() }()
	signals := f.signals
	for received := <-signals; received == syscall.SIGHUP; received = <-signals {
		reloadSettings(process, logger)
	}
	logger.Info("shutting down, waiting for calls in flight")
	ctx, cancel := context.WithTimeout(context.Background(), clock.Millis(f.shutdownMs).Duration())
	defer cancel()
	go func() {
		for <-signals == syscall.SIGHUP {
			logger.Info("SIGHUP ignored, the process is shutting down")
		}
		cancel()
	}()
	err = process.Shutdown(ctx)
	logger.Info("stopped", zap.Error(err))
	return err
}

// reloader is a process that can reload its settings file. If Reload returns an error, the
// previous settings stay in force.
type reloader interface {
	Reload() error
}

// reloadSettings reloads the settings of a process that implements reloader, and logs the
// result. For any other process it only logs that the signal was ignored.
func reloadSettings(process stopper, logger *zap.Logger) {
	r, ok := process.(reloader)
	if !ok {
		logger.Info("SIGHUP ignored, this process has no settings file")
		return
	}
	if err := r.Reload(); err != nil {
		logger.Error("settings were not read again", zap.Error(err))
		return
	}
	logger.Info("settings were read again")
}
