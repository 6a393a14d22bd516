package entry

import (
	"crypto/rand"
	"encoding/base32"
	"strings"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// programIDEncoding is base32 in lower case. Its alphabet has no dot, which
// separates the parts of a sub-agent's identifier.
var programIDEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

const (
	// programIDBytes is the number of random bytes of an identifier,
	// programIDLength the length of their encoding.
	programIDBytes  = 16
	programIDLength = 26
	// maxProgramIDLength is the maximum length of an identifier, including the
	// parts of sub-agents.
	maxProgramIDLength = 256
	// maxIDAttempts is the maximum number of random identifiers that are tried
	// to find one whose stream this process serves. An entry that owns 1 of 330
	// streams finds one in 99.8 % of the searches, but with 64 attempts in only
	// 18 %. The search reduces the 128 random bits by up to 11.
	maxIDAttempts = 2048
)

// newProgramID returns a random program identifier. If possible, it belongs to
// a stream that this process serves, so that the program's calls need not be
// forwarded.
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

// checkProgramID checks the syntax of a program identifier. A malformed
// identifier gets the same refusal as a program that does not exist.
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
