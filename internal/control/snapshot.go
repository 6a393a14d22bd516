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

// snapshotVersion is increased when the meaning of a snapshot changes.
const snapshotVersion = 1

// maxSnapshotBytes bounds the memory that a damaged snapshot can cause.
const maxSnapshotBytes = 256 << 20

// partBytes bounds one append of a snapshot, so that the log's other writers
// are not held up by it.
const maxPartBytes = 256 << 10

// image is the serialised form of a state.
type stateImage struct {
	Version  int                                      `json:"version"`
	Offset   spool.Offset                             `json:"offset"`
	Settings settings.TableImage[json.RawMessage]     `json:"settings"`
	Keys     settings.TableImage[keyring.Stored]      `json:"keys"`
	Accounts settings.TableImage[Account]             `json:"accounts"`
	Services settings.TableImage[Service]             `json:"services"`
	Orders   settings.TableImage[[]spool.EngineOrder] `json:"orders"`
}

// SnapshotPart is one piece of a snapshot on the control stream.
type SnapshotPart struct {
	// ID is the same in all parts of a snapshot.
	ID string `json:"id"`
	// Covers is the offset of the state.
	Covers spool.Offset `json:"covers"`
	// Part counts from 0 to Parts-1.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// Data is a piece of the compressed form that State.Compressed returns.
	Data []byte `json:"data"`
}

func (p SnapshotPart) check() error {
	if p.ID == "" || p.Covers < 1 || p.Part < 0 || p.Part >= p.Parts || p.Parts > maxSnapshotBytes/maxPartBytes {
		return errors.New("snapshot part is malformed")
	}
	return nil
}

// MarshalJSON returns the versioned JSON form with the offset. Equal states
// have equal forms.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateImage{
		Version: snapshotVersion, Offset: s.offset,
		Settings: s.tree.Image(), Keys: s.ring.Image(), Accounts: s.accounts.Image(),
		Services: s.services.Image(), Orders: s.orders.Image(),
	})
}

// RestoreState rebuilds a state from its JSON form.
func RestoreState(data []byte) (state *State, err error) {
	defer func() { err = errors.Wrap(err, "restore control snapshot") }()
	var image stateImage
	if err := json.Unmarshal(data, &image); err != nil {
		return nil, errors.New("snapshot does not decode")
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

// Compressed returns the JSON form compressed with zstd.
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

// RestoreCompressed rebuilds a state from its compressed form.
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

// SnapshotRecords splits the state into the records of a snapshot.
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

// collector puts the parts of snapshots together.
type snapshotAssembler struct {
	parts map[string][]SnapshotPart
}

// add takes a batch in and returns a snapshot when its last part arrived.
func (c *snapshotAssembler) add(batch spool.Batch) []byte {
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
			c.parts[part.ID] = nil
		}
		received := c.parts[part.ID]
		if len(received) != part.Part {
			continue
		}
		c.parts[part.ID] = append(received, part)
		if part.Part == part.Parts-1 {
			return c.assemble(part.ID)
		}
	}
	return nil
}

func (c *snapshotAssembler) assemble(id string) []byte {
	var data bytes.Buffer
	for _, part := range c.parts[id] {
		data.Write(part.Data)
	}
	delete(c.parts, id)
	return data.Bytes()
}
