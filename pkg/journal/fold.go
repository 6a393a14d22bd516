package journal

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// incarnationChanged replaces the incarnation of a replica that was recorded
// with more than one.
const incarnationChanged = "changed"

// State is the result of folding the batches of a stream. Snapshots contain it,
// so that a reader can start after retention has removed the claim.
type State struct {
	// Epoch is the highest claimed epoch; 0 if the stream was never claimed.
	Epoch spool.Epoch `json:"epoch"`
	// Owner is the node that wrote the claim of Epoch.
	Owner spool.NodeID `json:"owner"`
	// Released means that the owner has released the stream and that nothing is
	// left to recover.
	Released bool `json:"released,omitempty"`
	// Handover is the data that the owner passed to the next one when it released
	// the stream.
	Handover json.RawMessage `json:"handover,omitempty"`
	// Recovered is the highest epoch whose owner has appended all units that
	// replicas held for earlier owners. Units of lower epochs are invalid.
	Recovered spool.Epoch `json:"recovered"`
	// Owners and Holders are the nodes that may hold units which are not on the
	// stream: the owners and replicas of every epoch from Recovered on.
	Owners   []spool.NodeID `json:"owners,omitempty"`
	Replicas []spool.NodeID `json:"holders,omitempty"`
	// Incarnations maps the replicas whose copies count to their incarnations. A
	// replica that answers with another incarnation has lost copies. A replica
	// that was recorded with several incarnations has the value
	// incarnationChanged.
	Incarnations map[spool.NodeID]string `json:"incarnations,omitempty"`
	// Applied is the highest sequence on the stream for each epoch from Recovered
	// on. Units are appended in the order of their sequences, so it identifies
	// every duplicate in constant memory.
	Applied map[spool.Epoch]uint64 `json:"applied,omitempty"`
	// Since is the writer's time of the latest snapshot or, if there is none, of
	// the first batch.
	Since clock.Millis `json:"sinceMs"`
}

func (s State) clone() State {
	s.Owners = slices.Clone(s.Owners)
	s.Replicas = slices.Clone(s.Replicas)
	s.Incarnations = maps.Clone(s.Incarnations)
	s.Applied = maps.Clone(s.Applied)
	return s
}

// Fold applies the validity rules to the batches of one stream. All readers use
// it, so they agree on the owner and on the order of units.
type Fold struct {
	state  State
	offset spool.Offset
	// currentReplicas are the replicas named in the current epoch.
	currentReplicas []spool.NodeID
	invalidCount    int
	droppedUnits    int
}

// NewFold returns a fold that continues from state after the batch at offset.
func NewFold(state State, offset spool.Offset) *Fold {
	state = state.clone()
	if state.Applied == nil {
		state.Applied = map[spool.Epoch]uint64{}
	}
	return &Fold{state: state, offset: offset, currentReplicas: slices.Clone(state.Replicas)}
}

// State returns a copy of the fold's state.
func (f *Fold) State() State { return f.state.clone() }

// namesReplica reports whether the stream names a node as a replica, so that
// the next owner must fence it.
func (f *Fold) namesReplica(node spool.NodeID) bool { return slices.Contains(f.state.Replicas, node) }

// Epoch returns the highest claimed epoch.
func (f *Fold) Epoch() spool.Epoch { return f.state.Epoch }

// Offset returns the offset of the last batch that was folded.
func (f *Fold) Offset() spool.Offset { return f.offset }

// Void returns the number of batches and records that were dropped as invalid
// or malformed.
func (f *Fold) InvalidCount() int { return f.invalidCount }

// Repeats returns the number of units that were dropped as duplicates or
// because of their epoch.
func (f *Fold) DuplicateCount() int { return f.droppedUnits }

// Add folds the next batch and returns its valid units in order.
func (f *Fold) Add(batch spool.Batch) []Unit {
	f.offset = batch.Offset
	if f.state.Since == 0 {
		f.state.Since = batch.At
	}
	if len(batch.Records) == 0 {
		f.invalidCount++
		return nil
	}
	if batch.Records[0].Kind == KindClaim {
		f.applyClaim(batch)
		return nil
	}
	if !f.isValid(batch) {
		f.invalidCount++
		return nil
	}
	return f.applyRecords(batch)
}

// isValid reports whether a batch has the highest epoch claimed before it, its
// writer made that claim, and the stream has not been released.
func (f *Fold) isValid(batch spool.Batch) bool {
	return batch.Epoch == f.state.Epoch && batch.Writer == f.state.Owner && !f.state.Released
}

func (f *Fold) applyClaim(batch spool.Batch) {
	var claim Claim
	if batch.Epoch <= f.state.Epoch || json.Unmarshal(batch.Records[0].Data, &claim) != nil {
		f.invalidCount++
		return
	}
	if f.state.Released {
		f.state.Owners, f.state.Replicas, f.state.Incarnations = nil, nil, nil
	}
	f.state.Epoch, f.state.Owner, f.state.Released = batch.Epoch, batch.Writer, false
	f.state.Handover = nil
	f.currentReplicas = claim.Replicas
	f.state.Owners = union(f.state.Owners, []spool.NodeID{batch.Writer})
	f.state.Replicas = union(f.state.Replicas, claim.Replicas)
}

func (f *Fold) applyRecords(batch spool.Batch) (units []Unit) {
	records := batch.Records
	for len(records) > 0 {
		switch records[0].Kind {
		case KindReplicas:
			f.addReplicas(records[0])
		case KindReplicasRemoved:
			f.removeReplicas(records[0])
		case KindRecovered:
			f.applyRecovered(records[0])
		case KindRelease:
			f.applyRelease(records[0])
		case KindSnapshot:
			f.applySnapshot(batch)
			return units
		default:
			unit, rest, err := decodeUnit(records)
			if err != nil {
				f.invalidCount++
				return units
			}
			records = rest
			if f.acceptUnit(unit) {
				unit.Batch.Offset = batch.Offset
				units = append(units, unit)
			}
			continue
		}
		records = records[1:]
	}
	return units
}

// applyRelease ends the epoch. There is no handover if its data does not
// decode.
func (f *Fold) applyRelease(record spool.Record) {
	var data releaseData
	if json.Unmarshal(record.Data, &data) != nil {
		f.invalidCount++
	}
	f.state.Released, f.state.Handover = true, data.Handover
}

// acceptUnit reports whether a unit in a valid batch must be applied, and
// records its sequence.
func (f *Fold) acceptUnit(unit Unit) bool {
	epoch := unit.Batch.Epoch
	if epoch > f.state.Epoch || epoch < f.state.Recovered || unit.Sequence <= f.state.Applied[epoch] {
		f.droppedUnits++
		return false
	}
	f.state.Applied[epoch] = unit.Sequence
	return true
}

func (f *Fold) addReplicas(record spool.Record) {
	var claim Claim
	if json.Unmarshal(record.Data, &claim) != nil {
		f.invalidCount++
		return
	}
	f.currentReplicas = union(f.currentReplicas, claim.Replicas)
	f.state.Replicas = union(f.state.Replicas, claim.Replicas)
	f.recordIncarnations(claim)
}

// removeReplicas removes replicas that are no longer needed. A replica whose
// incarnation differs from the record has been named again since and stays.
func (f *Fold) removeReplicas(record spool.Record) {
	var claim Claim
	if json.Unmarshal(record.Data, &claim) != nil {
		f.invalidCount++
		return
	}
	for _, node := range claim.Replicas {
		if f.state.Incarnations[node] != claim.Incarnations[node] || claim.Incarnations[node] == incarnationChanged {
			continue
		}
		isNode := func(holder spool.NodeID) bool { return holder == node }
		f.currentReplicas = slices.DeleteFunc(slices.Clone(f.currentReplicas), isNode)
		f.state.Replicas = slices.DeleteFunc(slices.Clone(f.state.Replicas), isNode)
		delete(f.state.Incarnations, node)
	}
}

func (f *Fold) recordIncarnations(claim Claim) {
	if f.state.Incarnations == nil {
		f.state.Incarnations = map[spool.NodeID]string{}
	}
	for node, incarnation := range claim.Incarnations {
		if known, ok := f.state.Incarnations[node]; ok && known != incarnation {
			incarnation = incarnationChanged
		}
		f.state.Incarnations[node] = incarnation
	}
}

func (f *Fold) applyRecovered(record spool.Record) {
	var claim Claim
	if json.Unmarshal(record.Data, &claim) != nil {
		f.invalidCount++
		return
	}
	f.state.Recovered = f.state.Epoch
	f.state.Incarnations = map[spool.NodeID]string{}
	f.recordIncarnations(claim)
	f.state.Owners = []spool.NodeID{f.state.Owner}
	f.state.Replicas = slices.Clone(f.currentReplicas)
	maps.DeleteFunc(f.state.Applied, func(epoch spool.Epoch, _ uint64) bool { return epoch < f.state.Epoch })
}

func (f *Fold) applySnapshot(batch spool.Batch) {
	if header, ok := decodeSnapshot(batch); ok && header.Part == header.Parts {
		f.state.Since = batch.At
	}
}

func decodeSnapshot(batch spool.Batch) (header snapshotHeader, ok bool) {
	if len(batch.Records) == 0 || batch.Records[0].Kind != KindSnapshot {
		return header, false
	}
	err := json.Unmarshal(batch.Records[0].Data, &header)
	return header, err == nil && header.Part >= 1 && header.Part <= header.Parts
}

func union(a, b []spool.NodeID) []spool.NodeID {
	result := slices.Clone(a)
	for _, node := range b {
		if !slices.Contains(result, node) {
			result = append(result, node)
		}
	}
	return result
}
