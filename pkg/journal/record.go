// Package journal implements the durable log of one program stream at one node:
// claims, group commit, copies at replicas, fencing, recovery and release. Its
// types are deterministic and do no I/O: they receive messages and the time as
// arguments, and Journal returns the requested side effects as commands.
package journal

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// The kinds of the journal's own records. All other kinds belong to the users
// of the stream.
const (
	// KindClaim starts an epoch and names its owner and replicas.
	KindClaim spool.RecordKind = "journal.claim"
	// KindReplicas names replicas that are added during an epoch.
	KindReplicas spool.RecordKind = "journal.holders"
	// KindReplicasRemoved names former replicas that need not be fenced any more.
	KindReplicasRemoved spool.RecordKind = "journal.dropped"
	// KindRecovered means that all units of earlier epochs precede it.
	KindRecovered spool.RecordKind = "journal.recovered"
	// KindRelease ends an epoch without a new claim.
	KindRelease spool.RecordKind = "journal.release"
	// KindSnapshot precedes the records of one part of a snapshot.
	KindSnapshot spool.RecordKind = "journal.snapshot"
	// KindUnit precedes the records of one unit.
	KindUnit spool.RecordKind = "journal.unit"
)

// recordOverhead is the estimated size in bytes of a record without its data:
// field names, kind and program ID.
const recordOverhead = 80

// ErrMalformed means that the records of a batch do not decode as units. A Fold
// skips the rest of such a batch and increments InvalidCount.
var ErrMalformed = errors.New("batch is malformed")

// Claim is the data of a KindClaim, KindReplicas, KindReplicasRemoved or
// KindRecovered record.
type Claim struct {
	// Replicas are the nodes that may store copies of units which are not on the
	// stream. In a KindReplicasRemoved record, they are the nodes that no longer
	// store any. In a KindRecovered record, Replicas is empty. The JSON name
	// "holders" is kept.
	Replicas []spool.NodeID `json:"holders,omitempty"`
	// Incarnations maps each replica that may become active after this record to
	// its incarnation. In a KindReplicasRemoved record, it maps each removed
	// replica with a known incarnation to it. In a KindClaim record, it is empty.
	Incarnations map[spool.NodeID]string `json:"incarnations,omitempty"`
}

// releaseData is the data of a KindRelease record.
type releaseData struct {
	// Handover is the data that was passed to HandoverReady.
	Handover json.RawMessage `json:"handover,omitempty"`
}

// Unit is the records of one submission, which are applied together. It keeps
// its epoch, sequence and ID when it is appended again, by the same or another
// owner.
type Unit struct {
	// Batch holds the records, the owner that accepted them as the writer, and that
	// owner's epoch.
	Batch spool.Batch
	// Sequence increases with each unit of an epoch and starts at 1. Gaps are
	// allowed.
	Sequence uint64
}

// unitHeader is the data of a KindUnit record, which precedes the records of a
// unit within a batch. Writer, Epoch, Sequence and At are those of the Unit.
type unitHeader struct {
	Writer   spool.NodeID `json:"writer"`
	Epoch    spool.Epoch  `json:"epoch"`
	Sequence uint64       `json:"sequence"`
	At       clock.Millis `json:"atMs"`
	// Count is the number of records of the unit, without the header.
	Count int `json:"count"`
}

// snapshotHeader is the data of a KindSnapshot record, which precedes the
// records of one part of a snapshot.
type snapshotHeader struct {
	// ID is the same in all parts of a snapshot.
	ID string `json:"id"`
	// Part is the number of this part, from 1 to Parts.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// State is the state of the fold that the snapshot reflects.
	State State `json:"state"`
}

// UnitID returns the ID of a unit, which depends only on the arguments.
func UnitID(writer spool.NodeID, epoch spool.Epoch, sequence uint64) string {
	return string(writer) + "/" + strconv.FormatUint(uint64(epoch), 10) + "/" + strconv.FormatUint(sequence, 10)
}

// Size estimates the size in bytes of the records of a unit as encoded in a
// batch: recordOverhead for the unit header and for each record, and the data.
func Size(records []spool.Record) int {
	size := recordOverhead
	for _, record := range records {
		size += recordOverhead + len(record.Data)
	}
	return size
}

// EncodeUnits encodes units as the records of one batch.
func EncodeUnits(units []Unit) []spool.Record {
	count := 0
	for _, unit := range units {
		count += 1 + len(unit.Batch.Records)
	}
	records := make([]spool.Record, 0, count)
	for _, unit := range units {
		header := unitHeader{
			Writer: unit.Batch.Writer, Epoch: unit.Batch.Epoch, Sequence: unit.Sequence,
			At: unit.Batch.At, Count: len(unit.Batch.Records),
		}
		records = append(records, encode(KindUnit, header))
		records = append(records, unit.Batch.Records...)
	}
	return records
}

// DecodeUnits decodes the units of a batch. It fails with ErrMalformed if the
// batch contains anything but complete units.
func DecodeUnits(records []spool.Record) (units []Unit, err error) {
	for len(records) > 0 {
		var unit Unit
		if unit, records, err = decodeUnit(records); err != nil {
			return nil, err
		}
		units = append(units, unit)
	}
	return units, nil
}

// decodeUnit decodes the unit at the start of records, which must not be empty,
// and returns the records after it.
func decodeUnit(records []spool.Record) (unit Unit, rest []spool.Record, err error) {
	var header unitHeader
	if records[0].Kind != KindUnit {
		return unit, nil, errors.Wrapf(ErrMalformed, "record of kind %q outside of a unit", records[0].Kind)
	}
	if err := json.Unmarshal(records[0].Data, &header); err != nil {
		return unit, nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if header.Count < 0 || header.Count > len(records)-1 {
		return unit, nil, errors.Wrapf(ErrMalformed, "unit of %d records, %d are left", header.Count, len(records)-1)
	}
	unit = Unit{Sequence: header.Sequence, Batch: spool.Batch{
		ID:     UnitID(header.Writer, header.Epoch, header.Sequence),
		Writer: header.Writer, Epoch: header.Epoch, At: header.At,
		Records: records[1 : 1+header.Count : 1+header.Count],
	}}
	return unit, records[1+header.Count:], nil
}

// encode returns one of the journal's own records. It panics if value does not
// marshal, which does not happen with the data types of these records.
func encode(kind spool.RecordKind, value any) spool.Record {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return spool.Record{Kind: kind, Data: data}
}
