package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of the small installations.
const (
	storeRecordBytes = 262144
	storeCallBytes   = 2097152
)

// partition is one partition of a topic; no record expires during a script.
type partition struct {
	records [][]byte
	// newest maps a key to the offset of its newest record, in keyed topics.
	newest map[string]int
	// grown is closed and replaced when records are appended.
	grown chan struct{}
}

// store is a stand-in of the platform's store. It answers as PROTOCOL.md says.
type store struct {
	listener net.Listener
	mu       sync.Mutex
	parts    map[string]*partition
	refused  int
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, parts: map[string]*partition{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /baobabspool/log-append", s.handleAppend)
	mux.HandleFunc("GET /baobabspool/log-read", s.handleRead)
	mux.HandleFunc("GET /baobabspool/log-newest", s.handleNewest)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) part(name string) *partition {
	p := s.parts[name]
	if p == nil {
		p = &partition{newest: map[string]int{}, grown: make(chan struct{})}
		s.parts[name] = p
	}
	return p
}

// put appends a keyed record, as the operator and the servers do.
func (s *store) put(topic, key, value string) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(topic, "0", [][]byte{append(record, value...)})
}

func (s *store) appendLocked(topic, part string, records [][]byte) (offset, end int) {
	p := s.part(topic + "/" + part)
	offset = len(p.records)
	for _, record := range records {
		if strings.HasPrefix(topic, "keyed.") && len(record) > 0 && len(record) >= 1+int(record[0]) {
			key := string(record[1 : 1+int(record[0])])
			delete(p.newest, key)
			if len(record) > 1+int(record[0]) {
				p.newest[key] = len(p.records)
			}
		}
		p.records = append(p.records, record)
	}
	close(p.grown)
	p.grown = make(chan struct{})
	return offset, len(p.records)
}

func sendJSON(w http.ResponseWriter, status int, value any) {
	data, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(2 * time.Millisecond)
	query := r.URL.Query()
	topic := query.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	tooLarge := len(body) > storeCallBytes
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		size := int(binary.BigEndian.Uint32(rest))
		tooLarge = tooLarge || size > storeRecordBytes
		records = append(records, append([]byte(nil), rest[4:4+size]...))
		rest = rest[4+size:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if tooLarge {
		// Records are appended all or nothing.
		s.refused++
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if at := query.Get("at"); at != "" {
		if end := len(s.part(topic + "/" + query.Get("part")).records); at != strconv.Itoa(end) {
			sendJSON(w, http.StatusPreconditionFailed, map[string]int{"end": end})
			return
		}
	}
	offset, end := s.appendLocked(topic, query.Get("part"), records)
	sendJSON(w, http.StatusOK, map[string]int{"offset": offset, "end": end})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := 1024 << 10
	if kb, err := strconv.Atoi(query.Get("max_kb")); err == nil && kb > 0 {
		limit = kb << 10
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for expired := wait <= 0; ; {
		s.mu.Lock()
		p := s.part(query.Get("topic") + "/" + query.Get("part"))
		body := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
		body = binary.BigEndian.AppendUint64(body, 0)
		for i := from; i < len(p.records); i++ {
			if i > from && len(body)+4+len(p.records[i]) > limit {
				break
			}
			body = binary.BigEndian.AppendUint32(body, uint32(len(p.records[i])))
			body = append(body, p.records[i]...)
		}
		grown, found := p.grown, from < len(p.records)
		s.mu.Unlock()
		if found || expired {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-grown:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part"))
	items := []item{}
	for key, offset := range p.newest {
		value := p.records[offset][1+len(key):]
		items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: offset})
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	sendJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(p.records)})
}

// serverRecord is what a server writes of itself under servers/ID.
func serverRecord(service, address, zone, state string, slots, seq int, born int64) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_left_ms":0,"seq":%d,"born":%d}`,
		service, address, zone, slots, state, seq, born)
}
