package spool

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// HistoryDigest extends base, the digest of the messages before, by messages.
// The digest of an empty history is the empty string. The owner of a program
// and the agent that holds its prefix compute it alike, so that a turn carries
// only the messages that the agent does not have.
func HistoryDigest(base string, messages ...Message) string {
	for _, message := range messages {
		hash := xxhash.New()
		for _, part := range [...]string{base, message.Role, message.Content} {
			var length [8]byte
			binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
			_, _ = hash.Write(length[:])
			_, _ = hash.WriteString(part)
		}
		var sum [8]byte
		binary.BigEndian.PutUint64(sum[:], hash.Sum64())
		base = hex.EncodeToString(sum[:])
	}
	return base
}
