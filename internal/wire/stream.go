package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// errFrame means that the other side does not keep to the framing.
var errFrame = errors.New("frame has no valid Content-Length")

const (
	headerLength = "Content-Length: "
	// directFrameBytes is the largest frame whose buffer is allocated before its
	// content has come, so that a forged length costs no memory.
	directFrameBytes = 64 << 10
)

// frameStream carries the messages of one connection: JSON-RPC 2.0 objects
// behind a Content-Length header, as jsonrpc2.VSCodeObjectCodec frames them.
//
// jsonrpc2 decodes the parameters of each message into maps and encodes them
// again, and encodes each message three times. The stream keeps parameters and
// results away from it, and passes chunks by it.
type frameStream struct {
	conn   net.Conn
	reader *bufio.Reader
	// onChunk receives the chunks; nil at a server. It runs on the reader's
	// goroutine, so chunks and the reply after them stay in order.
	onChunk func(envelope)
	// payload holds the parameters or the result of the message read last. It
	// belongs to the reader's goroutine.
	payload json.RawMessage

	// request and response are the message that is about to be written, one of
	// them nil. The lock that jsonrpc2 holds while it sends guards them.
	request  *jsonrpc2.Request
	response *jsonrpc2.Response

	// waiting counts the writers that wait for mu. A writer leaves the flush to
	// those behind it, so that a busy connection writes several frames at once.
	waiting atomic.Int32
	mu      sync.Mutex
	writer  *bufio.Writer
}

func newFrameStream(conn net.Conn, onChunk func(envelope)) *frameStream {
	return &frameStream{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn), onChunk: onChunk}
}

// options make a connection hand its parameters and results to the stream.
func (s *frameStream) options() []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{
		quiet,
		jsonrpc2.OnSend(func(request *jsonrpc2.Request, response *jsonrpc2.Response) {
			s.request, s.response = request, response
		}),
		jsonrpc2.OnRecv(func(request *jsonrpc2.Request, response *jsonrpc2.Response) {
			// The receiver keeps the payload beyond the next message.
			payload := s.payload
			switch {
			case payload == nil:
			case response != nil:
				response.Result = &payload
			case request != nil:
				request.Params = &payload
			}
		}),
	}
}

// WriteObject writes the message that OnSend has announced.
func (s *frameStream) WriteObject(message any) error {
	request, response := s.request, s.response
	frame := make([]byte, 0, 256)
	switch {
	case request != nil:
		frame = append(appendText(append(frame, `{"method":`...), request.Method), `,"params":`...)
		if request.Params == nil {
			frame = append(frame, "{}"...)
		} else {
			frame = append(frame, *request.Params...)
		}
		if !request.Notif {
			frame = appendID(frame, request.ID)
		}
	case response != nil && response.Error == nil && response.Result != nil:
		frame = append(append(frame, `{"result":`...), *response.Result...)
		frame = appendID(frame, response.ID)
	default:
		body, err := json.Marshal(message)
		if err != nil {
			return err
		}
		return s.write(body)
	}
	return s.write(append(frame, frameEnd...))
}

const frameEnd = `,"jsonrpc":"2.0"}`

// chunkStart begins every frame of a chunk that this package writes.
const chunkStart = `{"method":"` + methodChunk + `","params":`

// sendChunk writes a notification with a chunk.
func (s *frameStream) sendChunk(chunk envelope) error {
	frame := append(make([]byte, 0, len(chunk.Body)+128), chunkStart...)
	return s.write(append(chunk.append(frame), frameEnd...))
}

func (s *frameStream) write(frame []byte) error {
	s.waiting.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.waiting.Add(-1) == 0
	header := strconv.AppendInt(append(make([]byte, 0, 32), headerLength...), int64(len(frame)), 10)
	// A buffered writer keeps its first error, so that of the flush suffices.
	_, _ = s.writer.Write(append(header, "\r\n\r\n"...))
	if _, err := s.writer.Write(frame); err != nil || !last {
		return err
	}
	return s.writer.Flush()
}

// message is the outer part of a frame.
type message struct {
	ID     json.RawMessage `json:"id,omitempty"`
	Method *string         `json:"method,omitempty"`
	Params json.RawMessage `json:"params,omitempty"`
	Result json.RawMessage `json:"result,omitempty"`
	Error  json.RawMessage `json:"error,omitempty"`
}

// ReadObject reads the next message that is not a chunk.
func (s *frameStream) ReadObject(into any) error {
	for {
		frame, err := s.readFrame()
		if err != nil {
			return err
		}
		if s.onChunk != nil {
			if chunk, ok := chunkOf(frame); ok {
				s.onChunk(chunk)
				continue
			}
		}
		return s.decode(frame, into)
	}
}

func (s *frameStream) decode(frame []byte, into any) error {
	s.payload = nil
	var outer message
	if err := json.Unmarshal(frame, &outer); err != nil {
		return err
	}
	switch {
	case outer.Method != nil && len(outer.Params) > 0:
		s.payload, outer.Params = outer.Params, nil
	case outer.Method == nil && len(outer.Result) > 0 && len(outer.Error) == 0:
		s.payload, outer.Result = outer.Result, json.RawMessage("null")
	default:
		return json.Unmarshal(frame, into)
	}
	rest, err := json.Marshal(outer)
	if err != nil {
		return err
	}
	return json.Unmarshal(rest, into)
}

func (s *frameStream) readFrame() ([]byte, error) {
	length := int64(-1)
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return nil, err
		}
		header := strings.TrimSuffix(string(line), "\r\n")
		if header == "" {
			break
		}
		if value, ok := strings.CutPrefix(header, headerLength); ok {
			if length, err = strconv.ParseInt(value, 10, 32); err != nil {
				return nil, errFrame
			}
		}
	}
	if length <= 0 {
		return nil, errFrame
	}
	if length <= directFrameBytes {
		frame := make([]byte, length)
		_, err := io.ReadFull(s.reader, frame)
		return frame, err
	}
	var frame bytes.Buffer
	if _, err := io.CopyN(&frame, s.reader, length); err != nil {
		return nil, err
	}
	return frame.Bytes(), nil
}

// Close closes the connection.
func (s *frameStream) Close() error { return s.conn.Close() }

// chunkOf returns the chunk in a frame that sendChunk has written.
func chunkOf(frame []byte) (chunk envelope, ok bool) {
	params, ok := bytes.CutPrefix(frame, []byte(chunkStart))
	if !ok {
		return chunk, false
	}
	params, ok = bytes.CutSuffix(params, []byte(frameEnd))
	if !ok {
		return chunk, false
	}
	return envelopeOf(params)
}

func appendID(frame []byte, id jsonrpc2.ID) []byte {
	frame = append(frame, `,"id":`...)
	if id.IsString {
		return appendText(frame, id.Str)
	}
	return strconv.AppendUint(frame, id.Num, 10)
}

// appendText appends text as a JSON string.
func appendText(frame []byte, text string) []byte {
	for i := range len(text) {
		if letter := text[i]; letter < ' ' || letter > '~' || letter == '"' || letter == '\\' {
			quoted, _ := json.Marshal(text)
			return append(frame, quoted...)
		}
	}
	frame = append(frame, '"')
	frame = append(frame, text...)
	return append(frame, '"')
}
