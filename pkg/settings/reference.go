package settings

import (
	"fmt"
	"strings"
)

// Reference returns a Markdown table of all settings. The command "baobabspool settings
// reference --write" writes it to docs/OPERATIONS.md.
func Reference() string {
	var b strings.Builder
	b.WriteString("| setting | type | unit | range | default | levels | meaning |\n|---|---|---|---|---|---|---|\n")
	for _, spec := range Specs() {
		valueRange := "-"
		switch spec.Kind {
		case KindBoolean:
			valueRange = "true, false"
		case KindText:
			valueRange = strings.Join(spec.Choices(), ", ")
		default:
			valueRange = formatNumber(spec.Min) + " to " + formatNumber(spec.Max)
		}
		name := spec.Name
		if spec.Keyed {
			name += "[ID]"
		}
		unit := spec.Unit
		if unit == "" {
			unit = "-"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s | %s |\n", name, spec.Kind, unit, valueRange, spec.Default, spec.levelNames(), spec.Description)
	}
	return b.String()
}

// suggestion returns the end of an error message that suggests the setting whose name
// is closest to a misspelt name. It returns "" if the edit distance to every setting is
// above 3.
func suggestion(name string) string {
	best, bestDistance := "", 4
	for _, spec := range Specs() {
		if distance := editDistance(name, spec.Name); distance < bestDistance {
			best, bestDistance = spec.Name, distance
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", best)
}

// editDistance returns the minimal number of insertions, deletions and substitutions
// of bytes that turn a into b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
