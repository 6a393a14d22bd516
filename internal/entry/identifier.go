package entry

import (
	"crypto/rand"
	"encoding/base32"
	"strings"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// programIDEncoding is base32 in lower case without padding. Its alphabet has no
// dot, because dots separate the parts of a sub-agent's identifier.
var programIDEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

const (
	// programIDBytes is the number of random bytes of a root program's identifier.
	// programIDLength is the number of characters that encode them.
	programIDBytes  = 16
	programIDLength = 26
	// maxProgramIDLength is the maximum number of characters of an identifier,
	// including the parts that are appended for sub-agents.
	maxProgramIDLength = 256
	// maxIDAttempts is the maximum number of random identifiers that newProgramID
	// tries to find one whose stream this process serves. An entry that owns 1 of
	// 330 streams succeeds in 99.8 % of the searches; with 64 attempts it would
	// succeed in only 18 %. Because the search selects 1 of up to 2048 identifiers,
	// it reduces the 128 random bits of an identifier by up to 11.
	maxIDAttempts = 2048
)

// newProgramID returns a random program identifier. If it finds one within
// maxIDAttempts, the identifier belongs to a stream that this process serves, so
// that the program's calls need not be forwarded.
func (e *Entry) newProgramID() spool.ProgramID {
	served := e.shards.servingStreams()
	id := randomProgramID()
	if len(served) == 0 {
		return id
	}
	for range maxIDAttempts - 1 {
		if served[spool.StreamOfProgram(id, e.config.Streams)] {
			return id
		}
		id = randomProgramID()
	}
	return id
}

func randomProgramID() spool.ProgramID {
	var random [programIDBytes]byte
	_, _ = rand.Read(random[:])
	return spool.ProgramID(programIDEncoding.EncodeToString(random[:]))
}

// checkProgramID checks the syntax of a program identifier. For a malformed one it
// returns the same refusal, with CodeNotFound, as for a program that does not
// exist.
func checkProgramID(id spool.ProgramID) error {
	missing := spool.Refuse(spool.CodeNotFound, "program does not exist")
	if len(id) < programIDLength || len(id) > maxProgramIDLength {
		return missing
	}
	for i, part := range strings.Split(string(id), ".") {
		if part == "" || (i == 0 && len(part) != programIDLength) {
			return missing
		}
		for _, letter := range part {
			if (letter < 'a' || letter > 'z') && (letter < '0' || letter > '9') {
				return missing
			}
		}
	}
	return nil
}
