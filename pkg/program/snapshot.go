package program

import (
	"sort"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Snapshot is the durable state of a program tree. A reader restores the tree from it
// when retention has removed the start record of the tree from the log.
type Snapshot struct {
	// Budget, Used and StartedAt apply to the whole tree.
	Budget    Budget       `json:"budget"`
	Used      Usage        `json:"used"`
	StartedAt clock.Millis `json:"startedAtMs"`
	// Programs are sorted by identifier, so a parent precedes its sub-agents.
	Programs []SnapshotProgram `json:"programs"`
}

// SnapshotProgram is the durable state of one program. The fields correspond to those
// of Program. Messages is the whole history, which is empty for an ended program. Count
// is Program.messageCount, and Tokens is Program.historyTokens.
type SnapshotProgram struct {
	ID            spool.ProgramID  `json:"id"`
	Account       spool.AccountID  `json:"account"`
	Parent        spool.ProgramID  `json:"parent,omitempty"`
	Model         spool.ModelName  `json:"model,omitempty"`
	Alarm         bool             `json:"alarm,omitempty"`
	IdleTimeout   clock.Millis     `json:"idleForMs"`
	Messages      []spool.Message  `json:"messages,omitempty"`
	Count         int              `json:"count,omitempty"`
	Digest        string           `json:"digest,omitempty"`
	Tokens        int              `json:"tokens,omitempty"`
	LastModelCall spool.CallID     `json:"last,omitempty"`
	Endpoint      spool.EndpointID `json:"endpoint,omitempty"`
	Turns         int              `json:"turns,omitempty"`
	SpentSequence int              `json:"spent,omitempty"`
	LastChangeAt  clock.Millis     `json:"lastAtMs"`
	Ended         EndReason        `json:"ended,omitempty"`
	EndedAt       clock.Millis     `json:"endedAtMs,omitempty"`
	Calls         []SnapshotCall   `json:"calls,omitempty"`
	Children      []SnapshotChild  `json:"children,omitempty"`
}

// SnapshotCall is the durable state of a finished call, or of a call that has only an
// intent so far. The fields correspond to those of recordedCall: Body to bodyDigest,
// Index and Text to answerIndex and answerText, and Data to answerBody. Prompt, Cached
// and Generated are token counts.
type SnapshotCall struct {
	Call      spool.CallID      `json:"call"`
	Kind      CallKind          `json:"kind"`
	Body      string            `json:"body"`
	Index     int               `json:"index"`
	Text      string            `json:"text,omitempty"`
	Prompt    int               `json:"prompt,omitempty"`
	Cached    int               `json:"cached,omitempty"`
	Generated int               `json:"generated,omitempty"`
	Outcome   CallOutcome       `json:"fate,omitempty"`
	Status    int               `json:"status,omitempty"`
	Data      []byte            `json:"data,omitempty"`
	Endpoint  spool.EndpointID  `json:"endpoint,omitempty"`
	Mark      spool.AgentMark   `json:"mark,omitzero"`
	Attempts  int               `json:"try,omitempty"`
	Service   spool.ServiceName `json:"service,omitempty"`
	Epoch     spool.Epoch       `json:"epoch,omitempty"`
}

// SnapshotChild identifies a spawned sub-agent. Call is the call of the parent that
// spawned it, and Body is the digest of that call's request.
type SnapshotChild struct {
	Call spool.CallID    `json:"call"`
	ID   spool.ProgramID `json:"id"`
	Body string          `json:"body,omitempty"`
}

// Snapshot returns one KindSnapshot record per tree, sorted by root program.
func (s *State) Snapshot() []spool.Record {
	roots := s.Roots()
	records := make([]spool.Record, 0, len(roots))
	for _, root := range roots {
		records = append(records, newRecord(KindSnapshot, root, s.trees[root].snapshot()))
	}
	return records
}

// Roots lists the root programs in sorted order.
func (s *State) Roots() []spool.ProgramID {
	roots := make([]spool.ProgramID, 0, len(s.trees))
	for root := range s.trees {
		roots = append(roots, root)
	}
	sort.Slice(roots, func(i, j int) bool { return roots[i] < roots[j] })
	return roots
}

// SnapshotOf returns the KindSnapshot record of one tree, or false when the tree does
// not exist. An owner with many programs takes the snapshot of one tree at a time, so
// that it can process calls in between.
func (s *State) SnapshotOf(root spool.ProgramID) (spool.Record, bool) {
	tree := s.trees[root]
	if tree == nil {
		return spool.Record{}, false
	}
	return newRecord(KindSnapshot, root, tree.snapshot()), true
}

func (t *programTree) snapshot() Snapshot {
	snapshot := Snapshot{Budget: t.budget, Used: t.used, StartedAt: t.startedAt}
	for _, program := range t.programs {
		snapshot.Programs = append(snapshot.Programs, program.snapshot())
	}
	sort.Slice(snapshot.Programs, func(i, j int) bool { return snapshot.Programs[i].ID < snapshot.Programs[j].ID })
	return snapshot
}

func (p *Program) snapshot() SnapshotProgram {
	snapshot := SnapshotProgram{
		ID: p.id, Account: p.account, Parent: p.parent, Model: p.model, Alarm: p.alarm, IdleTimeout: p.idleTimeout,
		Messages: p.history.All(), Count: p.messageCount, Digest: p.digest, Tokens: p.historyTokens, LastModelCall: p.lastModelCall, Endpoint: p.endpoint,
		Turns: p.turns, SpentSequence: p.spentSequence, LastChangeAt: p.lastChangeAt, Ended: p.endReason, EndedAt: p.endedAt,
	}
	for name, recorded := range p.calls {
		snapshot.Calls = append(snapshot.Calls, SnapshotCall{
			Call: name, Kind: recorded.kind, Body: recorded.bodyDigest, Index: recorded.answerIndex, Text: recorded.answerText,
			Prompt: recorded.promptTokens, Cached: recorded.cachedTokens, Generated: recorded.generatedTokens, Outcome: recorded.outcome,
			Status: recorded.status, Data: recorded.answerBody, Endpoint: recorded.endpoint, Service: recorded.service, Epoch: recorded.epoch, Mark: recorded.agentMark, Attempts: recorded.attempts,
		})
	}
	sort.Slice(snapshot.Calls, func(i, j int) bool { return snapshot.Calls[i].Call < snapshot.Calls[j].Call })
	for name, spawned := range p.children {
		snapshot.Children = append(snapshot.Children, SnapshotChild{Call: name, ID: spawned.id, Body: spawned.bodyDigest})
	}
	sort.Slice(snapshot.Children, func(i, j int) bool { return snapshot.Children[i].Call < snapshot.Children[j].Call })
	return snapshot
}

// applySnapshot restores a tree that does not exist yet, because retention has removed
// its start record. Then it applies the records of the tree that were read before the
// snapshot. Records that the snapshot already covers are skipped. Effects does not
// report skipped ones of these records, neither as repeated nor as invalid.
func (s *State) applySnapshot(root spool.ProgramID, data Snapshot, effects *Effects) error {
	if s.trees[root] != nil {
		return errAlreadyApplied
	}
	tree := &programTree{
		root: root, programs: map[spool.ProgramID]*Program{},
		budget: data.Budget, used: data.Used, startedAt: data.StartedAt,
		pendingSpawns: map[spool.ProgramID]*Ticket{},
	}
	for _, snapshot := range data.Programs {
		if snapshot.ID.Root() != root {
			return invalidRecord("program %s does not belong to this tree", snapshot.ID)
		}
		program, err := restoreProgram(tree, snapshot)
		if err != nil {
			return err
		}
		tree.programs[program.id] = program
	}
	if tree.programs[root] == nil {
		return invalidRecord("snapshot does not contain its root program")
	}
	s.trees[root] = tree
	deferred := s.awaitingSnapshot[root]
	delete(s.awaitingSnapshot, root)
	for _, record := range deferred {
		_ = s.apply(record, effects)
	}
	return nil
}

func restoreProgram(tree *programTree, data SnapshotProgram) (*Program, error) {
	program := &Program{
		id: data.ID, account: data.Account, parent: data.Parent, model: data.Model, alarm: data.Alarm,
		idleTimeout: data.IdleTimeout, tree: tree, messageCount: data.Count, digest: data.Digest, historyTokens: data.Tokens,
		lastModelCall: data.LastModelCall, endpoint: data.Endpoint, turns: data.Turns, spentSequence: data.SpentSequence, lastChangeAt: data.LastChangeAt,
		endReason: data.Ended, endedAt: data.EndedAt,
		calls: make(map[spool.CallID]*recordedCall, len(data.Calls)), children: make(map[spool.CallID]subAgent, len(data.Children)),
	}
	if data.Ended == "" && spool.HistoryDigest("", data.Messages...) != data.Digest {
		return nil, invalidRecord("digest of the history of %s does not match", data.ID)
	}
	program.history.Append(data.Messages...)
	for _, recorded := range data.Calls {
		if recorded.Index >= len(data.Messages) {
			return nil, invalidRecord("answer of call %s lies beyond the end of the history", recorded.Call)
		}
		if recorded.Kind == CallService && recorded.Outcome == "" {
			program.unresolvedCalls++
		}
		program.calls[recorded.Call] = &recordedCall{
			kind: recorded.Kind, bodyDigest: recorded.Body, answerIndex: recorded.Index, answerText: recorded.Text,
			promptTokens: recorded.Prompt, cachedTokens: recorded.Cached, generatedTokens: recorded.Generated, outcome: recorded.Outcome,
			status: recorded.Status, answerBody: recorded.Data, endpoint: recorded.Endpoint, service: recorded.Service, epoch: recorded.Epoch, agentMark: recorded.Mark, attempts: recorded.Attempts,
		}
	}
	for _, spawned := range data.Children {
		program.children[spawned.Call] = subAgent{id: spawned.ID, bodyDigest: spawned.Body}
	}
	return program, nil
}
