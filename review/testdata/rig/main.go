// Command rig plays the cases of the review: it starts gateways as separate processes
// between stand-ins of the platform's store, of servers and of clients, all on loopback
// addresses, and judges one rule by what the clients and the servers have seen. It exits
// with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// run is one play of a case.
type run struct {
	temp    string
	trouble bool
	begin   time.Time
	started []*exec.Cmd

	mu     sync.Mutex
	record *os.File
}

// note writes a line to record.txt, with the milliseconds since the start.
func (r *run) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%6d ", time.Since(r.begin).Milliseconds())
	fmt.Fprintf(r.record, format+"\n", arguments...)
}

// sleepUntil sleeps until a time after the start of the run.
func (r *run) sleepUntil(at time.Duration) { time.Sleep(time.Until(r.begin.Add(at))) }

// end kills the processes that the run has started.
func (r *run) end() {
	for _, command := range r.started {
		_ = command.Process.Signal(syscall.SIGKILL)
		_ = command.Wait()
	}
}

// play returns how often the rule was broken, or an error if the case could not run.
type play func(r *run) (broken int, err error)

var plays = map[string]play{
	"late-refusal": playLateRefusal,
	"cut-stream":   playCutStream,
	"long-chain":   playLongChain,
	"large-turn":   playLargeTurn,
	"line-ends":    playLineEnds,
}

func main() { os.Exit(start()) }

func start() (code int) {
	if len(os.Args) == 4 && os.Args[1] == "model-process" {
		return serveModelProcess()
	}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return 2
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(temp) }()
	} else {
		fmt.Println("logs in", temp)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	r := &run{temp: temp, trouble: os.Getenv("TROUBLE") != "0", begin: time.Now(), record: record}
	defer r.end()
	r.note("begin, trouble %v", r.trouble)
	broken, err := plays[os.Args[1]](r)
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken > 0:
		r.note("the rule was broken %d times", broken)
		fmt.Println("the rule was broken", broken, "times")
		return 1
	}
	r.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
