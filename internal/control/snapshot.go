package control

import (
	"bytes"
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// snapshotVersion is the version of the snapshot format. It is increased with each
// incompatible change.
const snapshotVersion = 1

// maxSnapshotBytes is the limit of a decompressed snapshot (256 MiB). It bounds the
// memory for decoding, because a damaged snapshot may announce any size.
const maxSnapshotBytes = 256 << 20

// maxPartBytes bounds the data of one part of a snapshot (256 KiB), so that the append
// of a large snapshot does not delay other writers of the log.
const maxPartBytes = 256 << 10

// stateImage is the serialized form of a state.
type stateImage struct {
	Version  int                                      `json:"version"`
	Offset   spool.Offset                             `json:"offset"`
	Settings settings.TableImage[json.RawMessage]     `json:"settings"`
	Keys     settings.TableImage[keyring.StoredKey]   `json:"keys"`
	Accounts settings.TableImage[Account]             `json:"accounts"`
	Services settings.TableImage[Service]             `json:"services"`
	Orders   settings.TableImage[[]spool.EngineOrder] `json:"orders"`
}

// SnapshotPart is one part of a snapshot on the control stream.
type SnapshotPart struct {
	// ID identifies the snapshot; all its parts have the same ID.
	ID string `json:"id"`
	// Covers is the offset of the state in the snapshot, at least 1.
	Covers spool.Offset `json:"covers"`
	// Part is the index of the part, from 0 to Parts-1. Parts is the number of parts
	// of the snapshot, at most 1024.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// Data is the section of the result of State.Compressed that this part holds. The
	// data of all parts in order of Part is the whole result.
	Data []byte `json:"data"`
}

func (p SnapshotPart) check() error {
	if p.ID == "" || p.Covers < 1 || p.Part < 0 || p.Part >= p.Parts || p.Parts > maxSnapshotBytes/maxPartBytes {
		return errors.New("snapshot part is malformed")
	}
	return nil
}

// MarshalJSON returns the state and its offset in the JSON format of snapshots, which
// contains snapshotVersion. Equal states have equal encodings.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateImage{
		Version: snapshotVersion, Offset: s.offset,
		Settings: s.tree.Image(), Keys: s.ring.Image(), Accounts: s.accounts.Image(),
		Services: s.services.Image(), Orders: s.orders.Image(),
	})
}

// RestoreState decodes a state that MarshalJSON has encoded. It fails if the version
// is not snapshotVersion, or if the state is empty (offset 0).
func RestoreState(data []byte) (state *State, err error) {
	defer func() { err = errors.Wrap(err, "restore control snapshot") }()
	var image stateImage
	if err := json.Unmarshal(data, &image); err != nil {
		return nil, errors.New("could not decode snapshot")
	}
	if image.Version != snapshotVersion {
		return nil, errors.Errorf("snapshot has version %d, want %d", image.Version, snapshotVersion)
	}
	if image.Offset < 1 {
		return nil, errors.Errorf("snapshot has offset %d", image.Offset)
	}
	tree, err := settings.NewTreeFrom(image.Settings)
	if err != nil {
		return nil, err
	}
	return &State{
		offset: image.Offset, tree: tree, ring: keyring.NewFrom(image.Keys),
		accounts: settings.NewTableFrom(image.Accounts),
		services: settings.NewTableFrom(image.Services),
		orders:   settings.NewTableFrom(image.Orders),
	}, nil
}

// Compressed returns the JSON encoding of the state, compressed with zstd.
func (s *State) Compressed() (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "compress control snapshot") }()
	plain, err := s.MarshalJSON()
	if err != nil {
		return nil, err
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	return encoder.EncodeAll(plain, nil), encoder.Close()
}

// RestoreCompressed decodes a state that Compressed has encoded. It fails like
// RestoreState, and if the decompressed state exceeds maxSnapshotBytes.
func RestoreCompressed(data []byte) (state *State, err error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	if err != nil {
		return nil, errors.Wrap(err, "restore control snapshot")
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, errors.Wrap(err, "restore control snapshot")
	}
	return RestoreState(plain)
}

// SnapshotRecords returns the records of a snapshot of the state, one for each part.
// No part holds more than maxPartBytes of data. id must be unique among the snapshots
// on the stream.
func SnapshotRecords(state *State, id string) (records []spool.Record, err error) {
	data, err := state.Compressed()
	if err != nil {
		return nil, err
	}
	parts := (len(data) + maxPartBytes - 1) / maxPartBytes
	for part := range parts {
		chunk := data[part*maxPartBytes : min(len(data), (part+1)*maxPartBytes)]
		record, err := NewRecord(SnapshotPart{ID: id, Covers: state.offset, Part: part, Parts: parts, Data: chunk})
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// snapshotAssembler assembles snapshots from their parts.
type snapshotAssembler struct {
	// parts holds, by snapshot ID, the parts of each incomplete snapshot that were
	// added so far: parts 0 to n-1, without gaps.
	parts map[string][]SnapshotPart
}

// add adds the snapshot parts of a batch. It returns the compressed state if the batch
// completes a snapshot, and nil otherwise. It ignores a part that is not the next one
// of its snapshot; part 0 discards the earlier parts with the same ID.
func (a *snapshotAssembler) add(batch spool.Batch) []byte {
	for _, record := range batch.Records {
		if record.Kind != RecordSnapshot {
			continue
		}
		content, err := DecodeRecord(record)
		if err != nil {
			continue
		}
		part := content.(SnapshotPart)
		if part.Part == 0 {
			a.parts[part.ID] = nil
		}
		received := a.parts[part.ID]
		if len(received) != part.Part {
			continue
		}
		a.parts[part.ID] = append(received, part)
		if part.Part == part.Parts-1 {
			return a.assemble(part.ID)
		}
	}
	return nil
}

// assemble returns the joined data of the parts of a snapshot, and forgets the parts.
func (a *snapshotAssembler) assemble(id string) []byte {
	var data bytes.Buffer
	for _, part := range a.parts[id] {
		data.Write(part.Data)
	}
	delete(a.parts, id)
	return data.Bytes()
}
