package settings

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Level is the level at which a value is set. A value at a narrower level overrides the
// values at broader levels.
type Level int

// The levels, from the broadest to the narrowest. levelCount is their number, and also
// the result of parseLevel for an unknown name.
const (
	LevelFleet Level = iota
	LevelRegion
	LevelFailureDomain
	LevelAccount
	LevelProgram
	levelCount
)

var levelNames = [levelCount]string{"fleet", "region", "failureDomain", "account", "program"}

// String returns the level's name as it appears in paths.
func (l Level) String() string {
	if l < 0 || l >= levelCount {
		return "unknown"
	}
	return levelNames[l]
}

// ErrMalformedPath means that a path does not have the text form described at Path, or
// that an identifier fails CheckIdentifier.
var ErrMalformedPath = errors.New("path is malformed")

// maxIdentifierBytes bounds the length of an identifier in a path. It leaves room for
// the identifiers of sub-agents' programs, which grow with the depth below the root
// program.
const maxIdentifierBytes = 200

// Target is a place at which settings can be set: the fleet, or one region, failure
// domain, account or program. ID is its identifier, empty for the fleet.
type Target struct {
	Level Level
	ID    string
}

// Path identifies one value by its target and the name of the setting. Its text form
// is fleet/NAME or LEVEL/ID/NAME. For a keyed setting, which has one value per endpoint
// or entry, [KEY] follows the name. Examples are "account/acme/limit.burst" and
// "fleet/drain.endpoint[ndar-a-1]".
type Path struct {
	Target
	// Name is the name of the setting.
	Name string
	// Key is the identifier of the endpoint or entry if the setting is keyed; empty for
	// other settings.
	Key string
}

// String returns the text form of the path.
func (p Path) String() string {
	text := p.Level.String() + "/"
	if p.Level != LevelFleet {
		text += p.ID + "/"
	}
	text += p.Name
	if p.Key != "" {
		text += "[" + p.Key + "]"
	}
	return text
}

// MarshalText returns the text form of the path.
func (p Path) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses the text form of a path. On an error p is unchanged.
func (p *Path) UnmarshalText(text []byte) error {
	parsed, err := ParsePath(string(text))
	if err != nil {
		return err
	}
	*p = parsed
	return nil
}

// ParsePath parses the text form of a path. It checks only the grammar; Check also
// checks that the setting exists. Errors wrap ErrMalformedPath.
func ParsePath(text string) (path Path, err error) {
	defer func() { err = errors.Wrapf(err, "%.250q", text) }()
	parts := strings.Split(text, "/")
	level := parseLevel(parts[0])
	partCount := 3
	if level == LevelFleet {
		partCount = 2
	}
	if level == levelCount {
		return Path{}, errors.Wrapf(ErrMalformedPath, "level must be one of %s", strings.Join(levelNames[:], ", "))
	}
	if len(parts) != partCount {
		return Path{}, errors.Wrapf(ErrMalformedPath, "a %s path has %d parts separated by /", level, partCount)
	}
	path.Level = level
	if level != LevelFleet {
		path.ID = parts[1]
		if err := CheckIdentifier(path.ID); err != nil {
			return Path{}, err
		}
	}
	path.Name = parts[partCount-1]
	if name, rest, keyed := strings.Cut(path.Name, "["); keyed {
		key, closed := strings.CutSuffix(rest, "]")
		if !closed {
			return Path{}, errors.Wrap(ErrMalformedPath, "key is not closed by ]")
		}
		if err := CheckIdentifier(key); err != nil {
			return Path{}, err
		}
		path.Name, path.Key = name, key
	}
	return path, CheckIdentifier(path.Name)
}

// CheckIdentifier checks that id consists of 1 to 200 ASCII letters, digits, dots,
// hyphens and underscores. Errors wrap ErrMalformedPath.
func CheckIdentifier(id string) error {
	if id == "" || len(id) > maxIdentifierBytes {
		return errors.Wrapf(ErrMalformedPath, "an identifier has 1 to %d characters", maxIdentifierBytes)
	}
	for _, r := range id {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '.', r == '-', r == '_':
		default:
			return errors.Wrapf(ErrMalformedPath, "identifier contains %q; letters, digits, dots, hyphens and underscores are allowed", r)
		}
	}
	return nil
}

// parseLevel returns the level with the given name, or levelCount if there is none.
func parseLevel(name string) Level {
	for level, levelName := range levelNames {
		if name == levelName {
			return Level(level)
		}
	}
	return levelCount
}

// Scope selects the targets at which values are looked up, in addition to the fleet.
// An empty field means that its level is skipped.
type Scope struct {
	Region        spool.Region
	FailureDomain spool.FailureDomain
	Account       spool.AccountID
	Program       spool.ProgramID
}

// targets returns the targets of the scope by level, broadest first. The target of a
// skipped level has an empty ID, at which no value can be set.
func (s Scope) targets() [levelCount]Target {
	return [levelCount]Target{
		{Level: LevelFleet},
		{Level: LevelRegion, ID: string(s.Region)},
		{Level: LevelFailureDomain, ID: string(s.FailureDomain)},
		{Level: LevelAccount, ID: string(s.Account)},
		{Level: LevelProgram, ID: string(s.Program)},
	}
}
