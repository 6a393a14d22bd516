package gatekeeper

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// messageOverhead is the memory of one cached message besides its text: the
// message's two string headers and its digest with header.
const messageOverhead = 80

// history is the cached history of a program. Its slices are shared with the
// prompts of calls and never written in place.
type history struct {
	account  spool.AccountID
	messages []spool.Message
	// digests holds the digest after each message.
	digests []string
	bytes   int
}

// matches reports whether the first count messages have the given digest.
func (h *history) matches(account spool.AccountID, count int, digest string) bool {
	return h.account == account && count <= len(h.digests) && h.digests[count-1] == digest
}

// resolve builds the prompt of c from the cached history and the messages of
// the call. It reports false when the history is not cached.
func (k *Kernel) resolve(c *call) bool {
	base := c.BaseDigest
	if c.BaseCount <= 0 {
		base = ""
	}
	if len(c.Digests) != len(c.Messages) {
		c.Digests = spool.HistoryDigests(base, c.Messages)
	}
	if c.BaseCount <= 0 {
		c.prompt, c.digests = c.Messages, c.Digests
		return true
	}
	p := k.programs[c.Key.Program]
	if p == nil || !p.history.matches(c.Key.Account, c.BaseCount, c.BaseDigest) {
		return false
	}
	c.prompt = slices.Concat(p.history.messages[:c.BaseCount], c.Messages)
	c.digests = slices.Concat(p.history.digests[:c.BaseCount], c.Digests)
	return true
}

// remember replaces the cached history of a program and drops the histories
// that were used least recently when the bound is exceeded.
func (k *Kernel) remember(p *program, account spool.AccountID, messages []spool.Message, digests []string) {
	size := 0
	for _, message := range messages {
		size += len(message.Role) + len(message.Content) + messageOverhead
	}
	k.historyBytes += size - p.history.bytes
	p.history = history{account: account, messages: messages, digests: digests, bytes: size}
	for k.historyBytes > k.config.MaxHistoryBytes {
		k.forgetOldestHistory()
	}
}

func (k *Kernel) forgetHistory(p *program) {
	k.historyBytes -= p.history.bytes
	p.history = history{}
}

func (k *Kernel) forgetOldestHistory() {
	var oldest *program
	for _, p := range k.programs {
		if p.history.bytes == 0 {
			continue
		}
		if oldest == nil || p.used < oldest.used || p.used == oldest.used && p.id < oldest.id {
			oldest = p
		}
	}
	if oldest == nil {
		k.historyBytes = 0
		return
	}
	k.forgetHistory(oldest)
	k.emit(Note{Event: "historyEvicted"})
}
