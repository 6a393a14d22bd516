// Package roster distributes the platform's list of VMs to all processes, which are
// called nodes here. A few entries of each failure domain, the readers, poll the
// platform. Every other node is a child of one entry, its parent, and pulls the changes
// from that entry. The package is a deterministic state machine without I/O;
// internal/roster runs it.
package roster

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/flate"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// bucketCount is the number of buckets whose digests are compared. At 11,330 rows
	// a bucket has 177 rows, about 7 KB compressed.
	bucketCount = 64
	// maxBucketBytes bounds the size of the decompressed JSON of a bucket. A larger
	// bucket is rejected as corrupt.
	maxBucketBytes = 8 << 20
)

// ErrCorrupt means that received rows do not decode, or that the table would not match
// the digests of the reply after the rows were merged.
var ErrCorrupt = errors.New("rows of the VM list are corrupt")

// Digests contains, for each bucket, the hash of its rows; 0 for an empty bucket.
type Digests [bucketCount]uint64

// MarshalText encodes the digests in base64. The text is half as long as a JSON array
// of decimal numbers.
func (d Digests) MarshalText() ([]byte, error) {
	plain := make([]byte, 0, 8*bucketCount)
	for _, digest := range d {
		plain = binary.BigEndian.AppendUint64(plain, digest)
	}
	return base64.RawStdEncoding.AppendEncode(nil, plain), nil
}

// UnmarshalText decodes the output of MarshalText. It fails when the number of digests
// is not bucketCount.
func (d *Digests) UnmarshalText(text []byte) error {
	plain, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return errors.Wrap(err, "decode digests")
	}
	if len(plain) != 8*bucketCount {
		return errors.Errorf("digests have %d bytes instead of %d", len(plain), 8*bucketCount)
	}
	for i := range d {
		d[i] = binary.BigEndian.Uint64(plain[8*i:])
	}
	return nil
}

// rootHash returns one hash of all digests and of own, the row of the node that pulls.
// own is the zero value, and is ignored, when the buckets contain that row already or
// the platform does not list the node.
func (d Digests) rootHash(own spool.VM) uint64 {
	plain := make([]byte, 0, 8*bucketCount)
	for _, digest := range d {
		plain = binary.BigEndian.AppendUint64(plain, digest)
	}
	if own.ID != "" {
		plain = appendRow(plain, own)
	}
	return xxhash.Sum64(plain)
}

// Rows are the rows of one bucket in a message.
type Rows struct {
	// Bucket is the number of the bucket, from 0 to bucketCount-1.
	Bucket int `json:"bucket"`
	// Data is the JSON array of the rows, sorted by ID and compressed with deflate. It
	// is empty when the bucket has no rows.
	Data []byte `json:"data,omitempty"`
}

// bucket contains the rows whose IDs hash to the same bucket number; see bucketOf.
type bucket struct {
	// rows are sorted by ID. The slice is replaced and never modified in place.
	rows []spool.VM
	// digest is the hash of rows; 0 when there are none.
	digest uint64
	// encoded caches rows in the form of Rows.Data; nil until encodedRows is called.
	encoded []byte
}

// table contains rows of the VM list: all rows, or only those of the entries. The rows
// are divided into buckets, so that two nodes can find the differing rows by comparing
// digests.
type table struct {
	buckets [bucketCount]bucket
	// sorted caches all rows, sorted by ID; nil when it is out of date.
	sorted []spool.VM
}

func bucketOf(id spool.NodeID) int { return int(xxhash.Sum64String(string(id)) % bucketCount) }

func appendRow(buffer []byte, vm spool.VM) []byte {
	for _, field := range []string{
		string(vm.ID), string(vm.Role), string(vm.State), string(vm.FailureDomain), string(vm.Region), string(vm.Service), vm.Address,
	} {
		buffer = binary.AppendUvarint(buffer, uint64(len(field)))
		buffer = append(buffer, field...)
	}
	return buffer
}

// replace replaces the rows of the table by vms and reports whether the rows changed.
// If several elements of vms have the same ID, it keeps the last one.
func (t *table) replace(vms []spool.VM) (changed bool) {
	var counts [bucketCount]int
	for _, vm := range vms {
		counts[bucketOf(vm.ID)]++
	}
	var parts [bucketCount][]spool.VM
	for i, count := range counts {
		parts[i] = make([]spool.VM, 0, count)
	}
	for _, vm := range vms {
		i := bucketOf(vm.ID)
		parts[i] = append(parts[i], vm)
	}
	for i, rows := range parts {
		slices.SortStableFunc(rows, func(a, b spool.VM) int { return cmp.Compare(a.ID, b.ID) })
		rows = keepLastOfEachID(rows)
		if !slices.Equal(rows, t.buckets[i].rows) {
			t.setRows(i, rows)
			changed = true
		}
	}
	return changed
}

// keepLastOfEachID removes, in place, all but the last row of each ID.
func keepLastOfEachID(sorted []spool.VM) []spool.VM {
	kept := sorted[:0]
	for i, vm := range sorted {
		if i+1 == len(sorted) || sorted[i+1].ID != vm.ID {
			kept = append(kept, vm)
		}
	}
	return kept
}

func (t *table) setRows(i int, rows []spool.VM) {
	t.buckets[i] = newBucket(rows)
	t.sorted = nil
}

// newBucket returns a bucket with rows, which must be sorted by ID.
func newBucket(rows []spool.VM) bucket {
	if len(rows) == 0 {
		return bucket{}
	}
	var plain []byte
	for _, vm := range rows {
		plain = appendRow(plain, vm)
	}
	return bucket{rows: rows, digest: xxhash.Sum64(plain)}
}

func (t *table) digests() (digests Digests) {
	for i := range t.buckets {
		digests[i] = t.buckets[i].digest
	}
	return digests
}

// rows returns all rows, sorted by ID. The caller must not modify them.
func (t *table) rows() []spool.VM {
	if t.sorted != nil {
		return t.sorted
	}
	count := 0
	for i := range t.buckets {
		count += len(t.buckets[i].rows)
	}
	t.sorted = make([]spool.VM, 0, count)
	for i := range t.buckets {
		t.sorted = append(t.sorted, t.buckets[i].rows...)
	}
	slices.SortFunc(t.sorted, func(a, b spool.VM) int { return cmp.Compare(a.ID, b.ID) })
	return t.sorted
}

// row returns the row of id, or the zero value when id is not listed.
func (t *table) row(id spool.NodeID) spool.VM {
	rows := t.buckets[bucketOf(id)].rows
	i, found := slices.BinarySearchFunc(rows, id, func(vm spool.VM, id spool.NodeID) int { return cmp.Compare(vm.ID, id) })
	if !found {
		return spool.VM{}
	}
	return rows[i]
}

// differingRows returns the rows of each bucket whose digest differs from that in
// remote.
func (t *table) differingRows(remote Digests) (rows []Rows, err error) {
	for i := range t.buckets {
		if t.buckets[i].digest == remote[i] {
			continue
		}
		data, err := t.encodedRows(i)
		if err != nil {
			return nil, err
		}
		rows = append(rows, Rows{Bucket: i, Data: data})
	}
	return rows, nil
}

// encodedRows returns the rows of bucket i in the form of Rows.Data.
func (t *table) encodedRows(i int) (data []byte, err error) {
	b := &t.buckets[i]
	if b.encoded != nil || len(b.rows) == 0 {
		return b.encoded, nil
	}
	plain, err := json.Marshal(b.rows)
	if err != nil {
		return nil, errors.Wrap(err, "encode rows of the VM list")
	}
	var out bytes.Buffer
	if err := flate.StatelessDeflate(&out, plain, true, nil); err != nil {
		return nil, errors.Wrap(err, "compress rows of the VM list")
	}
	b.encoded = out.Bytes()
	return b.encoded, nil
}

// merge replaces the buckets that a parent has sent. digests are the parent's digests
// of all buckets. If the result would not match them, or sent does not decode, merge
// changes nothing and returns ErrCorrupt.
func (t *table) merge(sent []Rows, digests Digests) (changed bool, err error) {
	merged := map[int]bucket{}
	// Reuse one decompressor for all buckets, because each new one allocates 40 KB.
	decompressor := flate.NewReader(nil)
	for _, rows := range sent {
		if rows.Bucket < 0 || rows.Bucket >= bucketCount {
			return false, errors.Wrapf(ErrCorrupt, "bucket %d does not exist", rows.Bucket)
		}
		decoded, err := decodeRows(decompressor, rows.Data)
		if err != nil {
			return false, errors.Wrapf(ErrCorrupt, "bucket %d: %v", rows.Bucket, err)
		}
		merged[rows.Bucket] = newBucket(decoded)
	}
	for i := range t.buckets {
		result, ok := merged[i]
		if !ok {
			result = t.buckets[i]
		}
		if result.digest != digests[i] {
			return false, errors.Wrapf(ErrCorrupt, "bucket %d does not match its digest", i)
		}
	}
	for i, result := range merged {
		changed = changed || result.digest != t.buckets[i].digest
		t.setRows(i, result.rows)
	}
	return changed, nil
}

func decodeRows(decompressor io.Reader, data []byte) (rows []spool.VM, err error) {
	if len(data) == 0 {
		return nil, nil
	}
	if err := decompressor.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(decompressor, maxBucketBytes))
	if err != nil {
		return nil, err
	}
	return rows, json.Unmarshal(plain, &rows)
}
