package journal

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// incarnationChanged is the value in State.Incarnations of a replica that the
// stream recorded with different incarnations. No process has this incarnation.
const incarnationChanged = "changed"

// State is the result of folding the batches of a stream. Each snapshot part
// contains it, so that a reader can start with a snapshot after retention has
// removed earlier batches, such as the claim.
type State struct {
	// Epoch is the highest claimed epoch; 0 if the stream was never claimed.
	Epoch spool.Epoch `json:"epoch"`
	// Owner is the node that wrote the claim of Epoch.
	Owner spool.NodeID `json:"owner"`
	// Released means that the owner has released the stream. All of its units are
	// then on the stream, so the next owner recovers nothing.
	Released bool `json:"released,omitempty"`
	// Handover is the data in the release record, from Owner for the next owner.
	// The next claim clears it.
	Handover json.RawMessage `json:"handover,omitempty"`
	// Recovered is the highest epoch whose owner has appended all units that it
	// collected from earlier owners and their replicas. Units of lower epochs that
	// follow are dropped.
	Recovered spool.Epoch `json:"recovered"`
	// Owners and Replicas are the nodes that may have units which are not on the
	// stream: the owners and replicas of the epoch Recovered and of every later
	// one, except removed replicas. The JSON name "holders" is kept.
	Owners   []spool.NodeID `json:"owners,omitempty"`
	Replicas []spool.NodeID `json:"holders,omitempty"`
	// Incarnations maps each replica whose copies the owner relies on to its
	// incarnation. A replica that answers with another incarnation has restarted
	// and lost its copies. The value is incarnationChanged for a replica that was
	// recorded with different incarnations.
	Incarnations map[spool.NodeID]string `json:"incarnations,omitempty"`
	// Applied maps the epoch Recovered and every later one to the highest sequence
	// of its units on the stream. Units of an epoch are appended in the order of
	// their sequences, so a unit with no higher sequence is a duplicate. This takes
	// constant memory per epoch.
	Applied map[spool.Epoch]uint64 `json:"applied,omitempty"`
	// Since is the time at which the last part of the latest snapshot was written,
	// by the writer's clock. Without a snapshot, it is the time of the first batch.
	Since clock.Millis `json:"sinceMs"`
}

func (s State) clone() State {
	s.Owners = slices.Clone(s.Owners)
	s.Replicas = slices.Clone(s.Replicas)
	s.Incarnations = maps.Clone(s.Incarnations)
	s.Applied = maps.Clone(s.Applied)
	return s
}

// Fold applies the validity rules to the batches of one stream: isValid for
// batches, acceptUnit for units. All readers use it, so they agree on the owner
// and on the order of units.
type Fold struct {
	state  State
	offset spool.Offset
	// currentReplicas are the replicas that the claim of state.Epoch and later
	// records of that epoch name, except removed ones.
	currentReplicas []spool.NodeID
	// invalidCount and droppedUnits are returned by InvalidCount and
	// DroppedUnitCount.
	invalidCount int
	droppedUnits int
}

// NewFold returns a fold that continues from state with the batch after offset.
// With the zero State and offset 0, it starts at the beginning of a stream.
func NewFold(state State, offset spool.Offset) *Fold {
	state = state.clone()
	if state.Applied == nil {
		state.Applied = map[spool.Epoch]uint64{}
	}
	return &Fold{state: state, offset: offset, currentReplicas: slices.Clone(state.Replicas)}
}

// State returns a copy of the fold's state.
func (f *Fold) State() State { return f.state.clone() }

// namesReplica reports whether the stream names a node as a replica. The next
// owner then has to fence that node, unless the stream is released first.
func (f *Fold) namesReplica(node spool.NodeID) bool { return slices.Contains(f.state.Replicas, node) }

// Epoch returns the highest claimed epoch; 0 if the stream was never claimed.
func (f *Fold) Epoch() spool.Epoch { return f.state.Epoch }

// Offset returns the offset of the last batch passed to Add, or the offset
// passed to NewFold if there was none.
func (f *Fold) Offset() spool.Offset { return f.offset }

// InvalidCount returns the number of batches that were dropped because isValid
// rejects them, claims that were rejected, and records that did not decode.
func (f *Fold) InvalidCount() int { return f.invalidCount }

// DroppedUnitCount returns the number of units that were dropped from valid
// batches: duplicates, and units of an epoch below Recovered or above the
// highest claim.
func (f *Fold) DroppedUnitCount() int { return f.droppedUnits }

// Add folds the next batch and returns the units to apply, in order. The batches
// must be passed in the order of their offsets.
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

// isValid reports whether a batch was written by the current owner, with the
// epoch of its claim, before the owner released the stream.
func (f *Fold) isValid(batch spool.Batch) bool {
	return batch.Epoch == f.state.Epoch && batch.Writer == f.state.Owner && !f.state.Released
}

// applyClaim starts a new epoch. A claim whose epoch is not above all earlier
// ones is invalid.
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

// applyRelease ends the epoch: later batches of it are invalid. If the data of
// the record does not decode, the stream is released without handover data.
func (f *Fold) applyRelease(record spool.Record) {
	var data releaseData
	if json.Unmarshal(record.Data, &data) != nil {
		f.invalidCount++
	}
	f.state.Released, f.state.Handover = true, data.Handover
}

// acceptUnit reports whether a unit in a valid batch must be applied. If so, it
// records the sequence of the unit; otherwise it counts the unit as dropped.
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

// removeReplicas removes the replicas of a KindReplicasRemoved record. A
// replica whose incarnation in the state differs from the one in the record
// stays: it was named again after the record was built. One that was recorded
// with different incarnations stays as well.
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
		isNode := func(replica spool.NodeID) bool { return replica == node }
		f.currentReplicas = slices.DeleteFunc(slices.Clone(f.currentReplicas), isNode)
		f.state.Replicas = slices.DeleteFunc(slices.Clone(f.state.Replicas), isNode)
		delete(f.state.Incarnations, node)
	}
}

// recordIncarnations adds the incarnations of a claim to the state, or
// incarnationChanged for a replica that has another one there.
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

// applyRecovered ends the recovery of the current epoch. Earlier owners and
// replicas need not be fenced any more, and later units of earlier epochs are
// dropped.
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

// decodeSnapshot decodes the header of a snapshot part; ok is false if the
// batch is not a valid snapshot part.
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
