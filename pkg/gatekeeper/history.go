package gatekeeper

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// messageOverhead is the memory, in bytes, that one cached message needs besides
// its text: two string headers for its role and content, its digest, and the string
// header of the digest.
const messageOverhead = 80

// history is the cached message history of a program. Its slices are shared with
// the prompts of calls and are never modified in place.
type history struct {
	account  spool.AccountID
	messages []spool.Message
	// digests holds the digest after each message.
	digests []string
	bytes   int
}

// matches reports whether the history belongs to the account and its first count
// messages have the given digest. count must be at least 1.
func (h *history) matches(account spool.AccountID, count int, digest string) bool {
	return h.account == account && count <= len(h.digests) && h.digests[count-1] == digest
}

// resolvePrompt sets the prompt of c and its digests from the cached history and
// the messages of the call. It returns false if the call extends a history that is
// not cached.
func (k *Kernel) resolvePrompt(c *call) bool {
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

// cacheHistory replaces the cached history of a program. It then evicts the least
// recently used histories, possibly the new one too, until the cache is within
// Config.MaxHistoryBytes.
func (k *Kernel) cacheHistory(p *program, account spool.AccountID, messages []spool.Message, digests []string) {
	size := 0
	for _, message := range messages {
		size += len(message.Role) + len(message.Content) + messageOverhead
	}
	k.historyBytes += size - p.history.bytes
	p.history = history{account: account, messages: messages, digests: digests, bytes: size}
	for k.historyBytes > k.config.MaxHistoryBytes {
		k.evictOldestHistory()
	}
}

func (k *Kernel) dropHistory(p *program) {
	k.historyBytes -= p.history.bytes
	p.history = history{}
}

// evictOldestHistory evicts the history of the program that was used least
// recently.
func (k *Kernel) evictOldestHistory() {
	var oldest *program
	for _, p := range k.programs {
		if p.history.bytes == 0 {
			continue
		}
		if oldest == nil || p.lastUsedAt < oldest.lastUsedAt || p.lastUsedAt == oldest.lastUsedAt && p.id < oldest.id {
			oldest = p
		}
	}
	if oldest == nil {
		k.historyBytes = 0
		return
	}
	k.dropHistory(oldest)
	k.emit(CountEvent{Event: "historyEvicted"})
}
