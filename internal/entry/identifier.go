package entry

import (
	"crypto/rand"
	"encoding/base32"
	"strings"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// programIDEncoding yields lower-case identifiers without a dot.
var programIDEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

const (
	programIDBytes  = 16
	programIDLength = 26
	// maxProgramIDLength bounds an identifier with its sub-agents' parts.
	maxProgramIDLength = 256
	// maxIDAttempts bounds the search for an identifier whose stream this process
	// owns. An entry that owns one of 330 streams finds one in 99.8 % of searches;
	// 64 attempts would find one in 18 %. The search costs up to 11 of the 128
	// random bits.
	maxIDAttempts = 2048
)

// newProgramID returns a random identifier, if possible of a stream that this
// process serves, so that the program's calls need not be forwarded.
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

// checkProgram refuses what cannot be a program's identifier in the same way as
// a program that does not exist.
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
