// Package journal implements the durable log of one program stream at one node:
// claims, group commit, copies at replicas, fencing, recovery and release.
// Every type is a deterministic state machine that takes messages and the time
// as arguments and returns commands.
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
	KindClaim           spool.RecordKind = "journal.claim"
	KindReplicas        spool.RecordKind = "journal.holders"
	KindReplicasRemoved spool.RecordKind = "journal.dropped"
	KindRecovered       spool.RecordKind = "journal.recovered"
	KindRelease         spool.RecordKind = "journal.release"
	KindSnapshot        spool.RecordKind = "journal.snapshot"
	KindUnit            spool.RecordKind = "journal.unit"
)

// recordOverhead is the size in bytes that a record adds to its data: field
// names, kind and program ID.
const recordOverhead = 80

// ErrMalformed means that a batch does not decode. Readers skip and count it.
var ErrMalformed = errors.New("batch is malformed")

// Claim is the data of a KindClaim, KindHolders, KindDropped or KindRecovered
// record.
type Claim struct {
	// Holders are the nodes that store copies of units which are not yet on the
	// stream. In a KindDropped record, they are the nodes that no longer do.
	Replicas []spool.NodeID `json:"holders,omitempty"`
	// Incarnations maps the replicas whose copies count from now on to their
	// incarnations. In a KindDropped record, it holds those of the removed
	// replicas.
	Incarnations map[spool.NodeID]string `json:"incarnations,omitempty"`
}

// releaseData is the data of a KindRelease record.
type releaseData struct {
	// Handover is the data that the owner's user passes to the next owner.
	Handover json.RawMessage `json:"handover,omitempty"`
}

// Unit is one submission: records that are applied together. A unit keeps its
// ID when another owner appends it again.
type Unit struct {
	// Batch holds the records with the epoch and writer that first accepted them.
	Batch spool.Batch
	// Sequence increases with each unit of an epoch. Gaps are allowed.
	Sequence uint64
}

// unitHeader precedes the records of a unit within a batch.
type unitHeader struct {
	Writer   spool.NodeID `json:"writer"`
	Epoch    spool.Epoch  `json:"epoch"`
	Sequence uint64       `json:"sequence"`
	At       clock.Millis `json:"atMs"`
	Count    int          `json:"count"`
}

// snapshotHeader precedes the records of one part of a snapshot.
type snapshotHeader struct {
	ID    string `json:"id"`
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	State State  `json:"state"`
}

// UnitID returns the ID of a unit.
func UnitID(writer spool.NodeID, epoch spool.Epoch, sequence uint64) string {
	return string(writer) + "/" + strconv.FormatUint(uint64(epoch), 10) + "/" + strconv.FormatUint(sequence, 10)
}

// Size estimates the size in bytes of records on the wire.
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

// DecodeUnits decodes the units of a batch. It fails with ErrMalformed.
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

// encode returns one of the journal's own records. Their data types always
// marshal.
func encode(kind spool.RecordKind, value any) spool.Record {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return spool.Record{Kind: kind, Data: data}
}
