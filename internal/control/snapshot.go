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

// maxSnapshotBytes bounds the memory for decoding a snapshot, which may be damaged.
const maxSnapshotBytes = 256 << 20

// maxPartBytes bounds one part of a snapshot, so that the append of a part does not
// delay other writers of the log.
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
	// Covers is the offset of the state in the snapshot.
	Covers spool.Offset `json:"covers"`
	// Part is the index of the part, from 0 to Parts-1.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// Data is the part's section of the result of State.Compressed.
	Data []byte `json:"data"`
}

func (p SnapshotPart) check() error {
	if p.ID == "" || p.Covers < 1 || p.Part < 0 || p.Part >= p.Parts || p.Parts > maxSnapshotBytes/maxPartBytes {
		return errors.New("snapshot part is malformed")
	}
	return nil
}

// MarshalJSON returns the state and its offset in the versioned JSON format. Equal
// states have equal encodings.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateImage{
		Version: snapshotVersion, Offset: s.offset,
		Settings: s.tree.Image(), Keys: s.ring.Image(), Accounts: s.accounts.Image(),
		Services: s.services.Image(), Orders: s.orders.Image(),
	})
}

// RestoreState decodes a state that MarshalJSON has encoded.
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

// RestoreCompressed decodes a state that Compressed has encoded.
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
// id must be unique among the snapshots on the stream.
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
	// parts holds the consecutive parts seen so far of each snapshot, by its ID.
	parts map[string][]SnapshotPart
}

// add adds the snapshot parts of a batch. It returns the compressed state once the
// last part of a snapshot has arrived, and nil otherwise. Duplicate parts and parts
// out of order are ignored; a first part starts the snapshot anew.
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

func (a *snapshotAssembler) assemble(id string) []byte {
	var data bytes.Buffer
	for _, part := range a.parts[id] {
		data.Write(part.Data)
	}
	delete(a.parts, id)
	return data.Bytes()
}
