package membership

import "github.com/baobabspool/baobabspool/pkg/spool"

// Command is a side effect that a View requests. It is one of the types below.
type Command interface{ command() }

type (
	// Heartbeat sends a heartbeat to a member. The result is passed to
	// HeartbeatDone.
	Heartbeat struct{ To spool.NodeID }

	// Probe asks Via whether it can reach Target. The result is passed to
	// ProbeDone.
	Probe struct{ Via, Target spool.NodeID }

	// Follow starts to read a stream in order to claim it with the given replicas.
	Follow struct {
		Stream   spool.Stream
		Replicas []spool.NodeID
	}

	// Abandon stops following a stream, because this entry no longer ranks first
	// for it.
	Abandon struct{ Stream spool.Stream }

	// AllowTakeover permits this entry to claim a followed stream although its
	// owner, which has failed, has not released it.
	AllowTakeover struct {
		Stream spool.Stream
		Owner  spool.NodeID
	}

	// RequestHandover asks the live owner of a followed stream to release it to
	// this entry. No result is passed back.
	RequestHandover struct {
		Stream spool.Stream
		Owner  spool.NodeID
	}
)

func (Heartbeat) command()       {}
func (Probe) command()           {}
func (Follow) command()          {}
func (Abandon) command()         {}
func (AllowTakeover) command()   {}
func (RequestHandover) command() {}
