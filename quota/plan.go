// Package quota decides what clients may make a process hold: connections, request heads and bodies
// while they are received and served, answers that are not read, and bytes that wait in the kernel.
// It answers crowds of clients that hold as much as they may for as long as they may, many of them
// just short of the end of a request, on a box whose memory also has to hold the process's own
// tables.
//
// NewPlan divides a box. A Ledger applies the plan to the connections of all listeners of the process.
package quota

import "time"

// Box is what the platform allows a process on its box.
type Box struct {
	Memory      int64 // in bytes
	Descriptors int   // open files, sockets and pipes
}

// DefaultBox stands for a box of which nothing is known: the smallest that the processes run on.
var DefaultBox = Box{Memory: 160_000_000, Descriptors: 4100}

// MinBox is the smallest box for which a plan leaves a process its own needs.
var MinBox = Box{Memory: 64_000_000, Descriptors: 512}

// Plan divides a box between its clients and the process's own needs. Sizes are in bytes.
type Plan struct {
	// Requests bounds the heads and bodies of requests that are received or served.
	Requests int64
	// LargeRequests is the part of Requests that requests of more than SmallRequest may fill.
	LargeRequests int64
	// UnreadAnswers bounds the answers that wait until their callers read them.
	UnreadAnswers int64
	// Messages bounds the messages of other processes, and the answers to the process's own calls, while they are read and used.
	Messages int64
	// Connections bounds the connections of clients over all listeners.
	Connections int
	// ReceiveBuffer bounds the bytes of one connection that wait unread in the kernel.
	ReceiveBuffer int
	// Relays bounds the connections to backend servers that the process opens for other nodes.
	Relays int
	// Heap is the soft limit of the runtime's memory. The rest of the box is for the kernel's
	// buffers, the program's text and the runtime's delay in meeting the limit.
	Heap int64
}

const (
	// The clients' parts of the memory are half of it. The other half holds the process's own
	// tables, and what the garbage collector has not yet freed.
	requestsFraction   = 1. / 5
	connectionFraction = 1. / 5
	answersFraction    = 1. / 10
	messagesFraction   = 1. / 10 // of the other half
	largeFraction      = 3. / 4  // of the requests' part
	// heapMargin is the part of the memory that neither the heap nor the receive buffers get.
	heapMargin = 3. / 16
	// reservedDescriptors are for files; the platform doesn't give them to sockets.
	reservedDescriptors = 200
	// clientDescriptors is the part of the other descriptors that connections of clients may use.
	// The rest is for connections to backend servers, other processes and the key-value service.
	clientDescriptors = 1. / 2
	relayDescriptors  = 1. / 4

	// lingeringPart is how many refused connections may stay open until their clients have read that, as a part of
	// those that the listener admits.
	lingeringPart = 1. / 16

	receiveBuffer = 32 << 10
	// connectionBytes is what a connection costs in the process: its stacks, buffers and records.
	connectionBytes = 16 << 10
)

// NewPlan returns the plan for the box. A field of the box that is 0 counts as that of DefaultBox.
func NewPlan(box Box) Plan {
	if box.Memory == 0 {
		box.Memory = DefaultBox.Memory
	}
	if box.Descriptors == 0 {
		box.Descriptors = DefaultBox.Descriptors
	}
	memory := float64(box.Memory)
	sockets := float64(box.Descriptors - reservedDescriptors)
	plan := Plan{
		Requests:      int64(memory * requestsFraction),
		UnreadAnswers: int64(memory * answersFraction),
		Messages:      int64(memory * messagesFraction),
		Connections:   int(min(memory*connectionFraction/(receiveBuffer+connectionBytes), sockets*clientDescriptors)),
		ReceiveBuffer: receiveBuffer,
		Relays:        int(sockets * relayDescriptors),
	}
	plan.LargeRequests = int64(float64(plan.Requests) * largeFraction)
	plan.Heap = int64(memory*(1-heapMargin)) - int64(plan.Connections)*receiveBuffer
	return plan
}

// Listener is a listener's part of the connections of clients. Each has a part of its own, so that a
// crowd at one doesn't keep the clients of another out.
type Listener struct {
	Name string
	Part float64 // of Plan.Connections
}

// The listeners. The parts of those that one process has add up to at most 1.
var (
	Callers   = Listener{Name: "callers", Part: 5. / 8}
	Directory = Listener{Name: "directory", Part: 1. / 8}
	Peers     = Listener{Name: "control", Part: 1. / 8}
	Readiness = Listener{Name: "readiness", Part: 1. / 16}
	Operators = Listener{Name: "operators", Part: 1. / 16} // metrics and administration
)

// connections returns how many connections the listener may have.
func (plan *Plan) connections(listener Listener) int {
	return max(int(float64(plan.Connections)*listener.Part), 1)
}

const (
	// SmallRequest is the largest cost of a request that may use all of Plan.Requests, in bytes.
	SmallRequest = 128 << 10
	// requestBytes is what a request costs besides its head and body: above all the buffers of its
	// connection to a backend server.
	requestBytes = 64 << 10
	// lineBytes and byteCost are the cost of a head line, and of each of its bytes, in a head that is
	// parsed and copied once for a backend server.
	lineBytes = 384
	byteCost  = 3
)

// HeadCost returns the memory that a head of so many lines and bytes occupies while its request is
// received and served, in bytes.
func HeadCost(lines, bytes int) int64 { return int64(lines)*lineBytes + int64(bytes)*byteCost }

// MaxBody returns the size of the largest body that fits, in bytes, with the head of an ordinary request.
func (plan *Plan) MaxBody() int64 { return plan.LargeRequests - SmallRequest }

const (
	// stallTime is how long a client may send fewer than progressBytes of a body before the room that it holds
	// goes to another client that needs it.
	stallTime     = time.Second
	progressBytes = 16 << 10
	// headStallTime is the same for the room of a head, which most clients send at once, and for the place of a
	// connection at a listener.
	headStallTime = 200 * time.Millisecond
	// RetryAfter is when a client that was refused for want of room should return: by then, room held
	// by clients that have stalled is free.
	RetryAfter = stallTime
	// addressFactor is how many times what a client's address would hold another address must hold, to
	// lose a request that is being received to that client.
	addressFactor = 2
)
