package control_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	modelNodes     = 4
	modelWait      = 1000
	modelIsolation = 5000
	// modelMaxStep is the longest time in ms by which one step of the test advances
	// the virtual clock.
	modelMaxStep = 3000
)

// model runs modelNodes nodes in virtual time against one log. The random actions of
// TestModel delay, duplicate, reorder and lose messages, and cause faults.
type model struct {
	now      clock.Millis
	batches  []spool.Batch
	logStart spool.Offset
	logDown  bool
	// logLag is the number of latest batches that reads do not show, as if a lagging
	// replica of the log answered them.
	logLag int
	nodes  []*modelNode
	vms    []spool.VM
	// withdrawnAt is the time at which key was withdrawn; 0 before.
	key         keyring.Key
	stored      keyring.StoredKey
	withdrawnAt clock.Millis
	// reference is the state after all appended batches.
	reference *control.State
	nextID    int
}

// modelNode is one node with the messages that are in flight to it.
type modelNode struct {
	*control.Node
	highestOffset spool.Offset
	cutFromLog    bool
	cutFromPeers  bool
	pages         []inFlightPage
	replies       []inFlightReply
	// withdrawn is the channel that Withdrawn returned for the key; nil before the
	// node has accepted the key.
	withdrawn <-chan struct{}
	// stateTime is the last time at which the node's state matched the log. contactAt
	// is the last time at which the log, or a peer for which ProvesContact is true,
	// answered a request of the node whose answer was delivered. Both are known exactly
	// here and checked against the bounds that Node computes.
	stateTime clock.Millis
	contactAt clock.Millis
}

type inFlightPage struct {
	sentAt clock.Millis
	after  spool.Offset
	page   spool.Page
}

type inFlightReply struct {
	sentAt        clock.Millis
	reply         wire.PullReply
	provesContact bool
	stateTime     clock.Millis
}

func newModel(t *rapid.T) *model {
	m := &model{now: 1000, logStart: 1, reference: control.NewState()}
	m.key, m.stored, _ = keyring.Issue("acme", 1, 0)
	for i := range modelNodes {
		domain := spool.FailureDomain([]string{"a", "a", "b", "c"}[i])
		m.vms = append(m.vms, spool.VM{
			ID: spool.NodeID(strconv.Itoa(i)), Role: spool.RoleEntry, State: spool.VMLive,
			FailureDomain: domain, Address: strconv.Itoa(i),
		})
		m.nodes = append(m.nodes, nil)
		m.restart(i)
	}
	m.appendBatch(t, newBatch("first", 0, control.Account{ID: "acme"}, m.stored))
	return m
}

func (m *model) restart(i int) {
	config := control.Config{Node: m.vms[i].ID, Role: spool.RoleEntry, FailureDomain: m.vms[i].FailureDomain, PollWait: modelWait, RelayBytes: 1500}
	m.nodes[i] = &modelNode{Node: control.NewNode(config, m.now), stateTime: m.now, contactAt: m.now}
}

func (m *model) appendBatch(t *rapid.T, batch spool.Batch) []control.Rejection {
	batch.Offset = m.logStart + spool.Offset(len(m.batches))
	m.batches = append(m.batches, batch)
	rejected, err := m.reference.Apply(batch)
	if err != nil {
		t.Fatal(err)
	}
	return rejected
}

func (m *model) lastOffset() spool.Offset { return m.logStart + spool.Offset(len(m.batches)) - 1 }

// readPage returns the page that a read of the batches after an offset gets now. trimmed
// is true if the log no longer has the batch after that offset.
func (m *model) readPage(after spool.Offset) (page spool.Page, trimmed bool) {
	page = spool.Page{First: m.logStart, Last: m.lastOffset() - spool.Offset(m.logLag)}
	if after+1 < m.logStart {
		return page, true
	}
	for _, batch := range m.batches {
		if batch.Offset > after && batch.Offset <= page.Last {
			page.Batches = append(page.Batches, batch)
		}
	}
	return page, false
}

// startRead makes a node read the log, unless the log is down or the node cut off. The
// page stays in flight until deliver. If the log no longer has the next batch,
// startRead replaces the state of the node by a snapshot at once.
func (m *model) startRead(n *modelNode) {
	if m.logDown || n.cutFromLog {
		return
	}
	after := n.State().Offset()
	page, trimmed := m.readPage(after)
	if trimmed {
		// The node loads a snapshot instead of the removed records.
		data, _ := m.reference.MarshalJSON()
		if state, err := control.RestoreState(data); err == nil {
			n.ReplaceState(state)
			n.CloseWithdrawn(m.now)
		}
		return
	}
	n.pages = append(n.pages, inFlightPage{m.now, after, page})
}

// startPull makes a node pull from the node with index from, unless one of them is cut
// off. The reply, with a random number of its batches, stays in flight until deliver.
func (m *model) startPull(t *rapid.T, n *modelNode, from int) {
	peer := m.nodes[from]
	if peer == n || n.cutFromPeers || peer.cutFromPeers {
		return
	}
	reply, needsSnapshot := peer.BatchesAfter(m.now, n.State().Offset())
	reply.Batches = reply.Batches[:rapid.IntRange(0, len(reply.Batches)).Draw(t, "size")]
	if needsSnapshot {
		data, _ := peer.State().Compressed()
		reply.Snapshot, _ = json.Marshal(data)
		reply.SnapshotAt = peer.State().Offset()
	}
	reply.HeldFor = clock.Millis(rapid.IntRange(0, modelWait).Draw(t, "held"))
	n.replies = append(n.replies, inFlightReply{m.now - reply.HeldFor, reply, n.ProvesContact(m.vms[from], m.vms), peer.stateTime})
}

// deliver delivers one random page and one random reply to the node, if there are any.
// At random it leaves both in flight, so that they can be delivered again.
func (n *modelNode) deliver(t *rapid.T, now clock.Millis) {
	duplicate := rapid.Bool().Draw(t, "duplicate")
	if len(n.pages) > 0 {
		i := rapid.IntRange(0, len(n.pages)-1).Draw(t, "page")
		p := n.pages[i]
		n.applyPage(p)
		if !duplicate {
			n.pages = slices.Delete(n.pages, i, i+1)
		}
	}
	if len(n.replies) > 0 {
		i := rapid.IntRange(0, len(n.replies)-1).Draw(t, "reply")
		r := n.replies[i]
		if _, err := n.ApplyReply(now, r.sentAt, r.reply, r.provesContact); err == nil && r.reply.StateAge >= 0 && n.State().Offset() >= r.reply.Last {
			n.stateTime = max(n.stateTime, r.stateTime)
			if r.provesContact {
				n.contactAt = max(n.contactAt, r.sentAt+r.reply.HeldFor)
			}
		}
		if !duplicate {
			n.replies = slices.Delete(n.replies, i, i+1)
		}
	}
	n.CloseWithdrawn(now)
}

func (n *modelNode) applyPage(p inFlightPage) {
	if _, err := n.ApplyPage(p.sentAt, p.after, p.page); err == nil && n.State().Offset() >= p.page.Last {
		n.stateTime, n.contactAt = max(n.stateTime, p.sentAt), max(n.contactAt, p.sentAt)
	}
}

// checkInvariants fails if a node has reverted to a lower offset, accepts a key more
// than modelIsolation after its last contact, accepts the key or has not closed its
// channel although its state includes the withdrawal, or reports a lower age of the
// state than the true one.
func (m *model) checkInvariants(t *rapid.T) {
	for i, n := range m.nodes {
		offset := n.State().Offset()
		if offset < n.highestOffset {
			t.Fatalf("node %d reverted from offset %d to %d", i, n.highestOffset, offset)
		}
		n.highestOffset = offset
		_, _, err := n.Authenticate(m.now, m.key.Reveal())
		if err == nil && n.withdrawn == nil {
			n.withdrawn = n.Withdrawn(m.now, m.key.ID())
		}
		if sinceContact := m.now - max(n.stateTime, n.contactAt); err == nil && sinceContact > modelIsolation {
			t.Fatalf("node %d accepts a key %s after its last contact", i, sinceContact)
		}
		if err == nil && m.withdrawnAt != 0 && n.State().Offset() == m.lastOffset() {
			t.Fatalf("node %d accepts a key that is withdrawn in its state", i)
		}
		if age := n.StateAge(m.now); age >= 0 && age < m.now-n.stateTime {
			t.Fatalf("node %d reports a state age of %s, want at least %s", i, age, m.now-n.stateTime)
		}
		if n.State().Offset() == m.lastOffset() && m.withdrawnAt != 0 && n.withdrawn != nil {
			select {
			case <-n.withdrawn:
			default:
				t.Fatalf("node %d has not closed the channel of the withdrawn key", i)
			}
		}
	}
}

// reconnect ends all faults, lets each node read the log to its end, and fails if the
// state of a node then differs from the reference.
func (m *model) reconnect(t *rapid.T) {
	m.logDown, m.logLag = false, 0
	for i, n := range m.nodes {
		n.cutFromLog, n.cutFromPeers = false, false
		for range 3 {
			m.startRead(n)
			for _, p := range n.pages {
				n.applyPage(p)
			}
			n.pages = nil
		}
		n.CloseWithdrawn(m.now)
		want, _ := m.reference.MarshalJSON()
		got, _ := n.State().MarshalJSON()
		if !bytes.Equal(got, want) {
			t.Fatalf("node %d has not converged:\n%s\nwant\n%s", i, got, want)
		}
		for value := range 4 {
			endpoint := spool.EndpointID("ep" + strconv.Itoa(value))
			if !slices.Equal(n.State().Orders(endpoint), m.reference.Orders(endpoint)) ||
				n.State().Draining("a", endpoint) != m.reference.Draining("a", endpoint) {
				t.Fatalf("node %d differs on endpoint %s", i, endpoint)
			}
		}
	}
	m.checkInvariants(t)
}

// TestModel guards against a node that reverts to an older state, diverges from the
// others, or accepts a withdrawn key for longer than modelIsolation, under random
// combinations of lost, duplicated and late messages, outages and restarts.
func TestModel(t *testing.T) {
	gomega.RegisterTestingT(t)
	fixSeed(t, "20261204", "600")
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				base := spool.Offset(rapid.IntRange(0, int(m.lastOffset())).Draw(t, "base"))
				m.nextID++
				m.appendBatch(t, newBatch(fmt.Sprint(m.nextID), base, m.drawContent(t)))
			},
			"race": func(t *rapid.T) {
				base, accepted := m.lastOffset(), 0
				for i := range 2 {
					m.nextID++
					if len(m.appendBatch(t, newBatch(fmt.Sprint(m.nextID), base, settingChange("fleet/limit.burst", strconv.Itoa(i+1))))) == 0 {
						accepted++
					}
				}
				if accepted != 1 {
					t.Fatalf("%d of two racing operators succeeded", accepted)
				}
			},
			"duplicate": func(t *rapid.T) {
				if len(m.batches) > 0 {
					m.appendBatch(t, m.batches[rapid.IntRange(0, len(m.batches)-1).Draw(t, "batch")])
				}
			},
			"withdraw": func(t *rapid.T) {
				if m.withdrawnAt == 0 {
					stored := m.stored
					stored.Withdrawn = true
					m.appendBatch(t, newBatch("withdraw", m.lastOffset(), stored))
					m.withdrawnAt = m.now
				}
			},
			"read":    func(t *rapid.T) { m.startRead(m.drawNode(t)) },
			"pull":    func(t *rapid.T) { m.startPull(t, m.drawNode(t), rapid.IntRange(0, modelNodes-1).Draw(t, "from")) },
			"deliver": func(t *rapid.T) { m.drawNode(t).deliver(t, m.now) },
			"lose": func(t *rapid.T) {
				n := m.drawNode(t)
				n.pages, n.replies = nil, nil
			},
			"pass":      func(t *rapid.T) { m.now += clock.Millis(rapid.IntRange(1, modelMaxStep).Draw(t, "time")) },
			"log":       func(t *rapid.T) { m.logDown = rapid.Bool().Draw(t, "down") },
			"logBehind": func(t *rapid.T) { m.logLag = rapid.IntRange(0, len(m.batches)).Draw(t, "by") },
			"cut": func(t *rapid.T) {
				n := m.drawNode(t)
				n.cutFromLog, n.cutFromPeers = rapid.Bool().Draw(t, "log"), rapid.Bool().Draw(t, "peers")
				if n.cutFromLog && n.cutFromPeers {
					n.pages, n.replies = nil, nil
				}
			},
			"restart": func(t *rapid.T) { m.restart(rapid.IntRange(0, modelNodes-1).Draw(t, "node")) },
			"trim": func(t *rapid.T) {
				keep := rapid.IntRange(0, len(m.batches)).Draw(t, "keep")
				m.logStart += spool.Offset(len(m.batches) - keep)
				m.batches = slices.Clone(m.batches[len(m.batches)-keep:])
			},
			"": func(t *rapid.T) { m.checkInvariants(t) },
		})
		m.reconnect(t)
	})
}

func (m *model) drawNode(t *rapid.T) *modelNode {
	return m.nodes[rapid.IntRange(0, modelNodes-1).Draw(t, "node")]
}

// drawContent returns the content of a record, which may be invalid.
func (m *model) drawContent(t *rapid.T) any {
	value := strconv.Itoa(rapid.IntRange(-1, 3).Draw(t, "value"))
	endpoint := spool.EndpointID("ep" + value[len(value)-1:])
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return settingChange("account/acme/limit.burst", value)
	case 1:
		return settingChange("program/p"+value+"/budget.calls", "null")
	case 2:
		return settingChange("fleet/drain.endpoint["+string(endpoint)+"]", "true")
	case 3:
		return control.Order{Endpoint: endpoint, Clear: value == "0", Order: spool.EngineOrder{Kind: spool.OrderLoad, Model: "m"}}
	case 4:
		return control.Service{Name: "s", Kind: control.ServicePlain, Removed: value == "0"}
	default:
		return spool.Record{Kind: spool.RecordKind("kind" + value), Data: []byte(`{"x":1}`)}
	}
}

// fixSeed sets the flags of rapid to a fixed seed, number of checks and number of steps,
// so that the test is reproducible.
func fixSeed(t *testing.T, seed, checks string) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// FuzzRecord guards against a record on the log that makes Apply fail, or whose state
// differs after it was encoded as a snapshot and restored.
func FuzzRecord(f *testing.F) {
	f.Add("setting", []byte(`{"path":"fleet/limit.burst","value":5,"base":0}`))
	f.Add("key", []byte(`{"id":"abcdefghijklmnop","account":"a","salt":"","hash":""}`))
	f.Add("order", []byte(`{"endpoint":"e","order":{"kind":"role","role":"x"}}`))
	f.Add("service", []byte(`{"name":"s","kind":"service","idempotentPaths":["/[a"]}`))
	f.Add("snapshot", []byte(`{"id":"x","covers":1,"part":0,"parts":1,"data":"AA=="}`))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		state := control.NewState()
		batch := spool.Batch{Offset: 1, Records: []spool.Record{{Kind: spool.RecordKind(kind), Data: data}}}
		rejected, err := state.Apply(batch)
		if err != nil || state.Offset() != 1 || len(rejected) > 1 {
			t.Fatalf("record stopped the reader: %v", err)
		}
		image, err := state.MarshalJSON()
		if err != nil {
			t.Fatalf("state does not encode: %v", err)
		}
		restored, err := control.RestoreState(image)
		if err != nil {
			t.Fatalf("state does not restore: %v", err)
		}
		if again, _ := restored.MarshalJSON(); !bytes.Equal(image, again) {
			t.Fatalf("state changed by a snapshot:\n%s\n%s", image, again)
		}
		_ = state.Settings().ValuesFor(settings.Scope{})
	})
}

// FuzzRestore guards against a damaged snapshot that makes RestoreState, or a query of
// the restored state, panic.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"version":1,"offset":3,"settings":{"entries":{"fleet/limit.burst":{"value":5,"offset":2}}}}`))
	f.Add([]byte(`{"version":2,"offset":3}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if state, err := control.RestoreState(data); err == nil {
			_ = state.Drains()
			_, _, _ = state.Keys().Verify("bsk_x", 1)
		}
	})
}
