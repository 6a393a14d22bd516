package deployment_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/caller"
	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// binaries returns the folder of the binaries. It builds them on its first call, unless
// the parent process has passed their folder in binariesVariable.
var binaries = sync.OnceValue(func() string {
	if folder := os.Getenv(binariesVariable); folder != "" {
		return folder
	}
	folder, err := os.MkdirTemp("", "baobabspool")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	build := exec.Command("go", "build", "-o", folder, "../../cmd/baobabspool", "../../cmd/standin")
	output, err := build.CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
	return folder
})

// process is a process that a test has started at least once. command is nil while it
// does not run.
type process struct {
	node    string
	command *exec.Cmd
	args    []string
	binary  string
	log     *os.File
}

// system is a deployment of separate processes.
type system struct {
	folder    string
	processes map[string]*process
	// All three maps are keyed by node name. addresses holds the service address of each
	// process, controls the address of each stand-in's control port, and
	// balancerAddresses the HTTP address of each entry that is in the load balancer. mu
	// guards balancerAddresses.
	addresses         map[string]string
	controls          map[string]string
	mu                sync.Mutex
	balancerAddresses map[string]string
	vms               []spool.VM
	network           network
	// authority signs the certificates of entries and agents. If it is nil, they
	// use plain TCP.
	authority *authority
}

// newSystem returns a system without processes. At the end of the test case, all its
// processes are killed.
func newSystem() *system {
	s := &system{
		folder: ginkgo.GinkgoT().TempDir(), processes: map[string]*process{},
		addresses: map[string]string{}, controls: map[string]string{}, balancerAddresses: map[string]string{},
		network: newNetwork(),
	}
	ginkgo.DeferCleanup(func() {
		for node := range s.processes {
			s.kill(node)
		}
	})
	return s
}

// run starts a new process. It writes the output to a file named after the node.
func (s *system) run(binary, node string, args ...string) {
	log, err := os.Create(filepath.Join(s.folder, node+".log"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s.processes[node] = &process{node: node, args: args, binary: filepath.Join(binaries(), binary), log: log}
	s.restart(node)
}

// restart starts a process that does not run, with the arguments given to run.
func (s *system) restart(node string) {
	p := s.processes[node]
	p.command = exec.Command(p.binary, p.args...)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	gomega.Expect(p.command.Start()).To(gomega.Succeed())
}

// kill ends a process with SIGKILL, if it runs.
func (s *system) kill(node string) {
	p := s.processes[node]
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	p.command = nil
}

// signal sends a signal to a process.
func (s *system) signal(node string, signal syscall.Signal) {
	gomega.Expect(s.processes[node].command.Process.Signal(signal)).To(gomega.Succeed())
}

// stop ends a process with SIGTERM and expects exit status 0.
func (s *system) stop(node string) {
	s.signal(node, syscall.SIGTERM)
	p := s.processes[node]
	gomega.Expect(p.command.Wait()).To(gomega.Succeed(), node)
	p.command = nil
}

// startStandin starts a stand-in and waits until it accepts connections.
func (s *system) startStandin(kind, node string) {
	s.addresses[node], s.controls[node] = standin.FreeAddress(), standin.FreeAddress()
	s.run("standin", node, kind, "--address", s.addresses[node], "--control", s.controls[node])
	waitForListener(s.addresses[node])
	waitForListener(s.controls[node])
}

// waitForListener waits until a process accepts connections at address.
func waitForListener(address string) {
	gomega.Eventually(func() error {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, "10s", "20ms").Should(gomega.Succeed())
}

// startEntry adds an entry to the VM list, starts it, waits until it accepts HTTP
// connections, and adds it to the load balancer.
func (s *system) startEntry(node string, domain spool.FailureDomain) {
	s.addresses[node] = standin.FreeAddress()
	httpAddress := standin.FreeAddress()
	s.addVM(spool.VM{ID: spool.NodeID(node), Role: spool.RoleEntry, FailureDomain: domain, Address: s.addresses[node]})
	region := s.network.region(domain)
	s.run("baobabspool", node, append(s.authority.processFlags("tls", "http-tls"), "entry", "--node", node, "--region", string(region), "--failure-domain", string(domain),
		"--listen", s.addresses[node], "--http-listen", httpAddress, "--lame-duck-ms", "0", "--log-level", "debug",
		"--vms-address", s.addresses[s.network.vmListNode(region)],
		"--log-address", s.network.addressFrom(region, logRegion, s.addresses["log"]))...)
	waitForListener(httpAddress)
	s.addToBalancer(node, httpAddress)
}

// startAgent adds the agent of an endpoint to the VM list, starts it, and waits until it
// accepts connections. flag is the flag for the address of the stand-in endpoint, which is
// the node name of that stand-in.
func (s *system) startAgent(node string, domain spool.FailureDomain, service spool.ServiceName, flag, endpoint string) {
	s.addresses[node] = standin.FreeAddress()
	s.addVM(spool.VM{ID: spool.NodeID(node), Role: spool.RoleEndpoint, FailureDomain: domain, Service: service, Address: s.addresses[node]})
	region := s.network.region(domain)
	s.run("baobabspool", node, append(s.authority.processFlags("tls"), "endpoint", "--node", node, "--region", string(region), "--failure-domain", string(domain),
		"--listen", s.addresses[node], "--vms-address", s.addresses[s.network.vmListNode(region)], flag, s.addresses[endpoint])...)
	waitForListener(s.addresses[node])
}

// addVM adds a live VM to the platform's list and publishes the list.
func (s *system) addVM(vm spool.VM) {
	vm.State, vm.Region = spool.VMLive, s.network.region(vm.FailureDomain)
	s.vms = append(s.vms, vm)
	s.publishVMs()
}

// publishVMs sends the VM list to the stand-in that serves it in each region. The list of
// a region contains the addresses at which processes of that region reach the VMs.
func (s *system) publishVMs() {
	for region, node := range s.network.vmListNodes {
		shown := make([]spool.VM, len(s.vms))
		for i, vm := range s.vms {
			vm.Address = s.network.addressFrom(region, vm.Region, vm.Address)
			shown[i] = vm
		}
		s.postControl(node, "/", standin.VMSettings{LagMs: 300, VMs: shown})
	}
}

// removeVM removes a VM from the VM list and from the load balancer. Its process goes on.
func (s *system) removeVM(node string) {
	var kept []spool.VM
	for _, vm := range s.vms {
		if vm.ID != spool.NodeID(node) {
			kept = append(kept, vm)
		}
	}
	s.vms = kept
	s.publishVMs()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.balancerAddresses, node)
}

// removeFromBalancer removes an entry from the load balancer, so that new requests go to
// the other entries, and returns the HTTP address of the removed entry.
func (s *system) removeFromBalancer(node string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.balancerAddresses[node]
	delete(s.balancerAddresses, node)
	return address
}

// addToBalancer adds an entry to the load balancer.
func (s *system) addToBalancer(node, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancerAddresses[node] = address
}

// listedAddresses returns the HTTP addresses of the entries in the load balancer.
func (s *system) listedAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, address := range s.balancerAddresses {
		addresses = append(addresses, address)
	}
	return addresses
}

// client returns a client for the entries in the load balancer.
func (s *system) client(key string) *caller.Client {
	client := caller.NewClient(s.listedAddresses, key)
	if s.authority != nil {
		client.UseTLS(s.authority.clientConfig())
	}
	return client
}

// postControl sends a JSON body to the control port of a stand-in.
func (s *system) postControl(node, path string, body any) {
	encoded, err := json.Marshal(body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.Post("http://"+s.controls[node]+path, "application/json", bytes.NewReader(encoded))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(response.Body.Close()).To(gomega.Succeed())
	gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK), fmt.Sprint(path))
}

// readStats decodes the counters of a stand-in into the given value.
func (s *system) readStats(node string, into any) {
	response, err := http.Get("http://" + s.controls[node] + "/stats")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	gomega.Expect(json.NewDecoder(response.Body).Decode(into)).To(gomega.Succeed())
}

// withTimeout returns a context that ends after limit or with the test case.
func withTimeout(limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	ginkgo.DeferCleanup(cancel)
	return ctx
}
