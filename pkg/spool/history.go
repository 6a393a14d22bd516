package spool

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// historyDigestBytes is the length of a digest before its hexadecimal encoding. Digests
// are compared only within one program, so 128 bits leave no practical chance of a
// collision.
const historyDigestBytes = 16

// HistoryDigest returns the digest of a history after messages are appended to
// it. base is the digest before they are appended; "" is the digest of an empty
// history. The digest is chained, so it can be built in steps: one call for a
// whole history and several calls for its consecutive parts return the same value.
func HistoryDigest(base string, messages ...Message) string {
	for _, message := range messages {
		base = appendDigest(base, message)
	}
	return base
}

// HistoryDigests returns, for each of messages, the digest of the history that ends
// with it. base is the digest of the history before the first one.
func HistoryDigests(base string, messages []Message) []string {
	digests := make([]string, len(messages))
	for i, message := range messages {
		base = appendDigest(base, message)
		digests[i] = base
	}
	return digests
}

// AnswerMessage returns the message that is appended to the history after a model call;
// text is the answer. The owner of the program and the agent both append it, and the
// digests of their copies agree only if they append the same message.
func AnswerMessage(text string) Message { return Message{Role: "assistant", Content: text} }

func appendDigest(base string, message Message) string {
	hash := sha256.New()
	for _, part := range []string{base, message.Role, message.Content} {
		// The length prefix distinguishes ("ab","c") from ("a","bc").
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil)[:historyDigestBytes])
}
