package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"shedkeel.org/shedkeel/internal/standin"
	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play is what a case plays on.
type play struct {
	*record
	directory string // for settings and logs
	prefix    string // of the loopback addresses, without the last number
	trouble   bool
	data      *standin.Store
	store     string      // address of the store
	silent    atomic.Bool // the store answers nobody
	nodes     []*node
}

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(*play) int{"late-orders": playLateOrders, "revoked-key": playRevokedKey, "surplus-answer": playSurplus, "late-record": playLateRecord}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and ends all that it started.
func run(name, path string) int {
	file, err := os.Create(filepath.Clean(path))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = file.Close() }()
	played := &play{record: &record{file: file, began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return played.fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(directory) }()
	} else {
		fmt.Println(directory)
	}
	played.directory = directory
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	if err := played.startStore(); err != nil {
		return played.fail(err)
	}
	defer func() {
		for _, node := range played.nodes {
			node.end()
		}
	}()
	go func() { result <- cases[name](played) }()
	select {
	case code := <-result:
		played.write("exit code %d", code)
		return code
	case <-interrupted:
		played.write("interrupted")
	case <-time.After(115 * time.Second):
		played.write("the case took too long")
	}
	return failed
}

// fail records why a case could not run.
func (play *play) fail(err error) int {
	play.write("the case could not run: %v", err)
	return failed
}

// startStore starts the platform's store.
func (play *play) startStore() error {
	prefix, err := freeHost()
	if err != nil {
		return err
	}
	play.prefix = prefix
	listener, err := net.Listen("tcp", prefix+"1:0")
	if err != nil {
		return err
	}
	play.data, play.store = standin.NewStore(), listener.Addr().String()
	server := &http.Server{Handler: play.mayBeSilent((&platformstandin.Store{Data: play.data}).Handler()), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// mayBeSilent holds back the answers of the store while it is silent.
func (play *play) mayBeSilent(store http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		answer := httptest.NewRecorder()
		if !play.silent.Load() {
			store.ServeHTTP(answer, request)
		}
		if play.silent.Load() {
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done() // its connection says nothing more
			return
		}
		for name, values := range answer.Header() {
			writer.Header()[name] = values
		}
		writer.WriteHeader(answer.Code)
		_, _ = writer.Write(answer.Body.Bytes())
	})
}

// startNodes starts so many nodes.
func (play *play) startNodes(count int) error {
	hosts, names := []string{}, []string{}
	for index := range count {
		hosts = append(hosts, fmt.Sprintf("%s%d", play.prefix, 10+index))
		names = append(names, fmt.Sprintf("front-ic-a-%d", index+1))
	}
	for index := range count {
		created, err := newNode(play.directory, names[index], hosts[index], play.store, hosts[:min(count, 3)])
		if err != nil {
			return err
		}
		if err := created.start(); err != nil {
			return err
		}
		play.nodes = append(play.nodes, created)
		play.write("node %s started at %s", created.name, created.callers)
	}
	return nil
}
