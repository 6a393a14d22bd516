package control_test

import (
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/cputime"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	benchChanges  = 40
	benchIdleTime = 5 * time.Second
)

// BenchmarkPropagation measures the time from the append of a change until a node has
// applied it, by role of the node, and the CPU time and written bytes of an idle node.
// The nodes run in one process with real connections on loopback. The log is in memory,
// so the cost of connections to it is not included.
func BenchmarkPropagation(b *testing.B) {
	for _, count := range []int{8, 32, 96, 200} {
		for _, readers := range []int{0, 1} {
			b.Run(fmt.Sprintf("nodes=%d/logReaders=%d", count, readers), func(b *testing.B) {
				for range b.N {
					measurePropagation(b, count, readers)
				}
			})
		}
	}
}

func measurePropagation(b *testing.B, count, readers int) {
	gomega.RegisterTestingT(b)
	var cleanups []func()
	cluster := &testCluster{log: newFakeLog(), clientOptions: []wire.ClientOption{wire.WithClientIdleTimeout(3000)}, cleanup: func(stop func()) { cleanups = append(cleanups, stop) }}
	defer func() {
		for _, stop := range slices.Backward(cleanups) {
			stop()
		}
	}()
	entries := max(4, count/8)
	nodes := make([]*testNode, count)
	for i := range nodes {
		config := control.Config{
			Node: spool.NodeID(fmt.Sprint("n", i)), Role: spool.RoleEndpoint, LogReaders: readers,
			FailureDomain: spool.FailureDomain(fmt.Sprint("d", i%4)),
		}
		if i < entries {
			config.Role = spool.RoleEntry
		}
		nodes[i] = cluster.start(config)
	}
	cluster.log.publish("start", settingChange("fleet/limit.burst", "5"))
	for _, node := range nodes {
		gomega.Eventually(node.Offset, "10s").Should(gomega.Equal(spool.Offset(1)))
	}
	// Before the measurement the nodes need time to select their final peers, because
	// early pulls failed at entries that had not loaded their state.
	time.Sleep(5 * time.Second)
	latencies, latenciesByRole := []time.Duration{}, map[spool.Role][]time.Duration{}
	for i := range benchChanges {
		for index, latency := range measureChange(cluster, nodes, i) {
			latenciesByRole[nodes[index].vm.Role] = append(latenciesByRole[nodes[index].vm.Role], latency)
			latencies = append(latencies, latency)
		}
	}
	reportLatencies(b, "entry", latenciesByRole[spool.RoleEntry])
	reportLatencies(b, "agent", latenciesByRole[spool.RoleEndpoint])
	reportLatencies(b, "all", latencies)
	cpuBefore, writtenBefore := processUsage()
	time.Sleep(benchIdleTime)
	cpuAfter, writtenAfter := processUsage()
	nodeSeconds := benchIdleTime.Seconds() * float64(count)
	b.ReportMetric(float64(cpuAfter-cpuBefore)/1e3/nodeSeconds, "restCPU-us/s/node")
	b.ReportMetric(float64(writtenAfter-writtenBefore)/nodeSeconds, "restBytes/s/node")
	b.ReportMetric(0, "ns/op")
}

// measureChange publishes a change and returns, for each node, the time from the
// publication until the node had applied the change.
func measureChange(cluster *testCluster, nodes []*testNode, changeIndex int) []time.Duration {
	latencies := make([]time.Duration, len(nodes))
	target := nodes[0].Offset() + 1
	var ready, done sync.WaitGroup
	started := time.Time{}
	start := make(chan struct{})
	for i, node := range nodes {
		ready.Add(1)
		done.Go(func() {
			ready.Done()
			<-start
			for node.Offset() < target {
				changed := node.Changed()
				if node.Offset() >= target {
					break
				}
				<-changed
			}
			latencies[i] = time.Since(started)
		})
	}
	ready.Wait()
	started = time.Now()
	cluster.log.publish(fmt.Sprint("change", changeIndex), settingChange("fleet/limit.burst", strconv.Itoa(changeIndex%50+1)))
	close(start)
	done.Wait()
	return latencies
}

// reportLatencies reports the median, the 99th percentile and the maximum of the
// latencies as metrics. It sorts latencies in place.
func reportLatencies(b *testing.B, name string, latencies []time.Duration) {
	slices.Sort(latencies)
	quantile := func(share float64) float64 {
		return float64(latencies[min(len(latencies)-1, int(share*float64(len(latencies))))].Microseconds()) / 1000
	}
	b.ReportMetric(quantile(0.5), name+"-p50-ms")
	b.ReportMetric(quantile(0.99), name+"-p99-ms")
	b.ReportMetric(quantile(1), name+"-max-ms")
}

// processUsage returns the CPU time of the process in nanoseconds and the number of
// bytes that it has written, including those to sockets.
func processUsage() (cpu, written int64) {
	return int64(cputime.SelfTime()), int64(cputime.BytesWritten())
}

// BenchmarkRecord measures, by kind of record, the time to apply a record in ns, the
// heap bytes that a record adds to a state, and the bytes that it adds to a compressed
// snapshot.
func BenchmarkRecord(b *testing.B) {
	gomega.RegisterTestingT(b)
	contentByKind := map[string]func(i int) any{
		"setting": func(i int) any { return settingChange(fmt.Sprintf("account/a%d/limit.burst", i), "5") },
		"program": func(i int) any { return settingChange(fmt.Sprintf("program/p%d/budget.calls", i), "5") },
		"key": func(i int) any {
			_, stored, _ := keyring.Issue(spool.AccountID(fmt.Sprint("a", i)), 1, 0)
			return stored
		},
		"order": func(i int) any {
			return control.Order{Endpoint: spool.EndpointID(fmt.Sprint("e", i)), Order: spool.EngineOrder{Kind: spool.OrderLoad, Model: "m"}}
		},
	}
	for name, newContent := range contentByKind {
		b.Run(name, func(b *testing.B) {
			batches := make([]spool.Batch, 20000)
			for i := range batches {
				batches[i] = newBatch(fmt.Sprint(i), spool.Offset(i), newContent(i))
				batches[i].Offset = spool.Offset(i + 1)
			}
			for b.Loop() {
				heapBefore := heapBytes()
				state := control.NewState()
				started := time.Now()
				for _, batch := range batches {
					_, _ = state.Apply(batch)
				}
				elapsed := time.Since(started)
				b.ReportMetric(float64(heapBytes()-heapBefore)/float64(len(batches)), "heapBytes/record")
				b.ReportMetric(float64(elapsed.Nanoseconds())/float64(len(batches)), "ns/record")
				compressed, _ := state.Compressed()
				b.ReportMetric(float64(len(compressed))/float64(len(batches)), "snapshotBytes/record")
				runtime.KeepAlive(state)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// heapBytes runs the garbage collector and returns the size of the heap in bytes.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkLookup measures the lookup of one setting for the scope of a request, in a
// tree in which no setting is set.
func BenchmarkLookup(b *testing.B) {
	tree := settings.NewTree()
	scope := settings.Scope{Region: "r", FailureDomain: "d", Account: "a", Program: "p"}
	for b.Loop() {
		_ = tree.ValuesFor(scope).Number(settings.LimitBurst)
	}
}
