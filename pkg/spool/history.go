package spool

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// historyDigestBytes is the length of a digest. Digests are compared only
// within one program, so 128 bits leave no practical chance of a collision.
const historyDigestBytes = 16

// HistoryDigest returns the digest of the history that has the digest base and
// is followed by messages. The digest of an empty history is "", so a digest
// can be built in steps: the digest of a whole history equals that of its last
// messages on top of the digest of the first ones.
func HistoryDigest(base string, messages ...Message) string {
	for _, message := range messages {
		base = appendDigest(base, message)
	}
	return base
}

// HistoryDigests returns the digest after each of messages, starting from the
// history that has the digest base.
func HistoryDigests(base string, messages []Message) []string {
	digests := make([]string, len(messages))
	for i, message := range messages {
		base = appendDigest(base, message)
		digests[i] = base
	}
	return digests
}

// AnswerMessage returns the message that both the owner of a program and the
// agent append to the history after a model call.
func AnswerMessage(text string) Message { return Message{Role: "assistant", Content: text} }

func appendDigest(base string, message Message) string {
	hash := sha256.New()
	for _, part := range []string{base, message.Role, message.Content} {
		// The length in front of each part keeps ("ab","c") and ("a","bc") apart.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil)[:historyDigestBytes])
}
