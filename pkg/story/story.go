// Package story reads the structured logs of gateways and tells what happened to one
// request or program, in order, and why it failed.
package story

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxLineBytes bounds one line of a log. Lines with a stack are the longest ones.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	// At is the time in seconds since 1970, by the clock of the VM that wrote the line.
	At float64
	// Node is the gateway that wrote the line. Part is the component, without brackets, and
	// Message the text after it.
	Node    string
	Part    string
	Message string
	// Fields holds the other fields, by the names that docs/OPERATIONS.md lists.
	Fields map[string]any
}

// Text returns a text field; empty if there is none.
func (l Line) Text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Number returns a number field; 0 if there is none.
func (l Line) Number(name string) float64 {
	number, _ := l.Fields[name].(float64)
	return number
}

// Read returns the lines of a log in the order in which they stand there. A line may begin
// with other text, such as the name of its process. Lines without a JSON object of a
// gateway are skipped. Read fails only if r fails or a line exceeds a megabyte.
func Read(r io.Reader) (lines []Line, err error) {
	defer func() { err = errors.Wrap(err, "read log") }()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parse(text string) (line Line, ok bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || json.Unmarshal([]byte(text[start:]), &line.Fields) != nil {
		return line, false
	}
	line.At, line.Node = line.Number("ts"), line.Text("node")
	message := line.Text("msg")
	if part, rest, found := strings.Cut(strings.TrimPrefix(message, "["), "] "); found {
		line.Part, message = part, rest
	}
	line.Message = message
	for _, name := range []string{"ts", "node", "msg", "level"} {
		delete(line.Fields, name)
	}
	return line, line.At > 0 && line.Node != ""
}

// Story is what happened to one request or program.
type Story struct {
	// Lines are those of the request or program, and those that explain them: changes of
	// what the gateways concerned believed shortly before. They are in order of time.
	Lines []Line
	// Failures says for each failed request, in order, why it failed.
	Failures []Failure
}

// Failure is a failed request.
type Failure struct {
	Request string
	Node    string
	At      float64
	Reason  string
	// Cause says why in a sentence. It is empty if the lines do not tell.
	Cause string
}

// contextBefore is the time in seconds before a line of the request for which changes of
// belief are part of its story.
const contextBefore = 3.0

// beliefs are the messages of lines that tell a change of what a gateway believes.
var beliefs = map[string]bool{
	"ready": true, "stopped": true, "store is away": true, "store answers again": true, "configuration in force": true,
	"limit owner changes": true, "owner of the limits steps down": true, "evacuation changes": true,
	"endpoint's record is gone": true, "endpoint changes": true, "home of a partition does not answer": true,
	"partition is used without its homes": true, "gateways in contact promise not to take the limits over": true,
}

// Of returns the story of the request or program with an identifier. It has no lines if
// none names it.
func Of(lines []Line, id string) (story Story) {
	own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Text("request") != id && l.Text("program") != id })
	slices.SortStableFunc(own, byTime)
	if len(own) == 0 {
		return Story{}
	}
	context := contextOf(lines, own)
	for _, line := range own {
		if failure, failed := failureOf(line, context); failed {
			story.Failures = append(story.Failures, failure)
		}
	}
	story.Lines = append(own, context...)
	slices.SortStableFunc(story.Lines, byTime)
	return story
}

// contextOf returns the changes of belief, at the gateways and about the endpoints that own
// names, from contextBefore before the first line to the last one. Of earlier changes it
// has the last one that tells whether each gateway reached the store.
func contextOf(lines, own []Line) (context []Line) {
	nodes, endpoints := map[string]bool{}, map[string]bool{}
	for _, line := range own {
		nodes[line.Node] = true
		endpoints[line.Text("endpoint")] = true
	}
	from, to := own[0].At-contextBefore, own[len(own)-1].At
	lastStore := map[string]Line{}
	for _, line := range lines {
		aboutStore := line.Message == "store is away" || line.Message == "store answers again"
		if aboutStore && nodes[line.Node] && line.At < from && line.At >= lastStore[line.Node].At {
			lastStore[line.Node] = line
		}
		isNear := line.At >= from && line.At <= to
		aboutOther := strings.HasPrefix(line.Message, "endpoint") && !endpoints[line.Text("endpoint")]
		if isNear && beliefs[line.Message] && nodes[line.Node] && !aboutOther {
			context = append(context, line)
		}
	}
	context = slices.AppendSeq(context, maps.Values(lastStore))
	slices.SortStableFunc(context, byTime)
	return context
}

func byTime(a, b Line) int { return cmp.Compare(a.At, b.At) }

// FailedRequests returns the identifiers of all requests that failed, sorted.
func FailedRequests(lines []Line) []string {
	failed := map[string]bool{}
	for _, line := range lines {
		if _, ok := failureOf(line, nil); ok && line.Text("request") != "" {
			failed[line.Text("request")] = true
		}
	}
	return slices.Sorted(maps.Keys(failed))
}
