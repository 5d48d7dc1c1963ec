package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeConn records how it was interrupted.
type fakeConn struct {
	closed  bool // it rested
	refused bool
}

func (conn *fakeConn) Interrupt(resting bool) {
	conn.closed = conn.closed || resting
	conn.refused = conn.refused || !resting
}

// newLedger returns a ledger of a box with room for few.
func newLedger() *Ledger {
	return &Ledger{Plan: Plan{Requests: 1 << 20, LargeRequests: 768 << 10, Connections: 4}}
}

// whole is a listener that may have all connections.
var whole = Listener{Name: "callers", Part: 1}

// connect connects a client from the address, and fails the test if it is not admitted.
func connect(t *testing.T, ledger *Ledger, address string, now time.Duration) (*Client, *fakeConn) {
	t.Helper()
	conn := &fakeConn{}
	client := &Client{Listener: whole, Address: address, Owner: conn}
	assert.Assert(t, ledger.Connect(client, now))
	return client, conn
}

// TestPlans checks the sums of plans: the clients' parts and the heap fit the box, at the smallest and the largest
// box and the default.
func TestPlans(t *testing.T) {
	boxes := map[string]Box{
		"default":                     {},
		"smallest":                    MinBox,
		"small box of a large fleet":  {Memory: 184_000_000, Descriptors: 4100},
		"box of a site":               {Memory: 284_000_000, Descriptors: 4100},
		"large box of a large fleet":  {Memory: 1_048_000_000, Descriptors: 16384},
		"much memory, no descriptors": {Memory: 64_000_000_000, Descriptors: 1024},
	}
	for name, box := range boxes {
		t.Run(name, func(t *testing.T) {
			plan := NewPlan(box)
			if box.Memory == 0 {
				box = DefaultBox
			}
			clients := plan.Requests + plan.UnreadAnswers + int64(plan.Connections)*(receiveBuffer+connectionBytes)
			assert.Assert(t, clients <= box.Memory/2, "the clients' parts are %d bytes", clients)
			assert.Assert(t, plan.Heap+int64(plan.Connections*plan.ReceiveBuffer) <= box.Memory*13/16)
			assert.Assert(t, plan.Requests+plan.UnreadAnswers+int64(plan.Connections)*connectionBytes < plan.Heap, "the clients' parts leave nothing of the heap")
			assert.Assert(t, float64(plan.Connections)*(1+lingeringPart)+float64(plan.Relays) <= float64(box.Descriptors-reservedDescriptors)*0.8, "a fifth of the sockets is left for the process's own")
			assert.Assert(t, plan.LargeRequests < plan.Requests && plan.MaxBody() > 0)
		})
	}
}

// TestLimitsOfThePagesFit checks that the largest request that the platform's limits allow fits the
// default box, even if all of its head is the shortest possible lines.
func TestLimitsOfThePagesFit(t *testing.T) {
	const head, body, shortestLine = 16 << 10, 4 << 20, 5
	plan := NewPlan(Box{})
	assert.Assert(t, HeadCost(head/shortestLine, head)+requestBytes+body < plan.LargeRequests)
	assert.Assert(t, plan.MaxBody() >= body)
}

// TestListenersShareConnections checks that the parts of the listeners of a node add up to at most 1.
func TestListenersShareConnections(t *testing.T) {
	sum := 0.
	for _, listener := range []Listener{Callers, Directory, Readiness, Operators, Peers} {
		sum += listener.Part
	}
	assert.Assert(t, sum <= 1)
}

// TestConnectionsAreBounded checks who loses its place when a listener is full.
func TestConnectionsAreBounded(t *testing.T) {
	tests := map[string]struct {
		// prepare acts on four clients that came one second after the other, the last at 3 s.
		prepare  func(ledger *Ledger, clients []*Client)
		at       time.Duration // of the fifth
		admitted bool
		victim   int // that loses its place; -1: none
		resting  bool
	}{
		"the longest resting one": {func(ledger *Ledger, clients []*Client) {
			ledger.Receive(clients[0], 10, 3*time.Second)
		}, 3 * time.Second, true, 1, true},
		"one that rests again is the last": {func(ledger *Ledger, clients []*Client) {
			for _, index := range []int{1, 2, 3, 0} {
				ledger.Receive(clients[index], 10, 3*time.Second)
				ledger.Rest(clients[index], 3*time.Second)
			}
		}, 3 * time.Second, true, 1, true},
		"one that rests, before those that have sent nothing yet": {func(ledger *Ledger, clients []*Client) {
			ledger.Receive(clients[2], 10, 2*time.Second)
			ledger.Rest(clients[2], 2*time.Second)
		}, 3 * time.Second, true, 2, true},
		"not one that has just come": {func(ledger *Ledger, clients []*Client) {
			for _, client := range clients[:3] {
				ledger.Receive(client, 10, 3*time.Second)
			}
		}, 3100 * time.Millisecond, false, -1, false},
		"a stalled request": {func(ledger *Ledger, clients []*Client) {
			for index, client := range clients {
				ledger.Receive(client, 10, time.Duration(3+index)*time.Second)
			}
		}, 7 * time.Second, true, 0, false},
		"nobody whose request has just begun": {func(ledger *Ledger, clients []*Client) {
			for _, client := range clients {
				ledger.Receive(client, 10, 3*time.Second)
			}
		}, 3100 * time.Millisecond, false, -1, false},
		"a body without progress": {func(ledger *Ledger, clients []*Client) {
			for _, client := range clients {
				ledger.Receive(client, 10, 3*time.Second)
				ledger.ReceiveBody(client, 3*time.Second)
			}
			for _, client := range clients[:2] {
				ledger.Receive(client, progressBytes, 3400*time.Millisecond)
			}
		}, 3500 * time.Millisecond, true, 2, false},
		"nobody who is being served": {func(ledger *Ledger, clients []*Client) {
			for _, client := range clients {
				ledger.Receive(client, 10, 3*time.Second)
				ledger.Serve(client, 100, 3*time.Second)
			}
		}, time.Minute, false, -1, false},
		"a client that is refused already": {func(ledger *Ledger, clients []*Client) {
			for _, client := range clients {
				ledger.Receive(client, 10, 3*time.Second)
			}
			ledger.Linger(clients[2], 3*time.Second)
		}, 3 * time.Second, true, 2, true},
		"processes of the fleet are not counted": {func(ledger *Ledger, clients []*Client) {
			ledger.Trust(clients[2], 3*time.Second)
		}, 3 * time.Second, true, -1, false},
		"nor those that have left": {func(ledger *Ledger, clients []*Client) {
			ledger.Disconnect(clients[2])
			ledger.Disconnect(clients[2])
		}, 3 * time.Second, true, -1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ledger := newLedger()
			var clients []*Client
			var conns []*fakeConn
			for index := range 4 {
				client, conn := connect(t, ledger, fmt.Sprint("10.0.0.", index), time.Duration(index)*time.Second)
				clients, conns = append(clients, client), append(conns, conn)
			}
			test.prepare(ledger, clients)
			admitted := ledger.Connect(&Client{Listener: whole, Address: "10.0.0.9", Owner: &fakeConn{}}, test.at)
			assert.Equal(t, admitted, test.admitted)
			for index, conn := range conns {
				assert.Equal(t, conn.closed, index == test.victim && test.resting, "client %d", index)
				assert.Equal(t, conn.refused, index == test.victim && !test.resting, "client %d", index)
			}
			assert.Assert(t, ledger.Usage().Connections["callers"] <= 4)
		})
	}
}

// TestRoomIsTakenBack checks who gets room for a request when others hold all of it.
func TestRoomIsTakenBack(t *testing.T) {
	const size = 100 << 10
	tests := map[string]struct {
		holders map[string]int // requests of that size that are being received, by address
		served  int            // more that are being served, of another address
		after   time.Duration  // when the request comes
		address string
		size    int64
		want    bool
		refused int // holders that lose their place
	}{
		"there is room":                          {map[string]int{"a": 3}, 0, 0, "b", size, true, 0},
		"small requests fill all of it":          {map[string]int{"a": 3}, 6, 0, "b", size, true, 0},
		"large requests don't":                   {nil, 7, 0, "b", 2 * size, false, 0},
		"stalled requests give way":              {map[string]int{"a": 2, "b": 3, "c": 2, "d": 3}, 0, stallTime, "b", size, true, 1},
		"as many as needed":                      {map[string]int{"a": 2, "b": 3, "c": 2, "d": 3}, 0, stallTime, "b", 4 * size, true, 7},
		"new ones don't, from many addresses":    {map[string]int{"a": 2, "b": 2, "c": 2, "d": 2, "e": 2}, 0, 0, "f", size, false, 0},
		"an address that holds much gives way":   {map[string]int{"a": 10}, 0, 0, "b", size, true, 1},
		"but not to its own clients":             {map[string]int{"a": 10}, 0, 0, "a", size, false, 0},
		"nor to one that would hold as much":     {map[string]int{"a": 5, "b": 5}, 0, 0, "b", size, false, 0},
		"requests that are served keep the room": {nil, 10, time.Minute, "b", size, false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ledger := newLedger()
			ledger.Plan.Connections = 100
			var conns []*fakeConn
			for address, count := range test.holders {
				for range count {
					client, conn := connect(t, ledger, address, 0)
					conns = append(conns, conn)
					ledger.Receive(client, 10, 0)
					assert.Assert(t, ledger.Reserve(client, size, 0))
				}
			}
			for range test.served {
				client, _ := connect(t, ledger, "served", 0)
				ledger.Receive(client, 10, 0)
				assert.Assert(t, ledger.Serve(client, size-requestBytes, 0))
			}
			client, _ := connect(t, ledger, test.address, test.after)
			ledger.Receive(client, 10, test.after)
			assert.Equal(t, ledger.Reserve(client, test.size, test.after), test.want)
			refused := 0
			for _, conn := range conns {
				assert.Assert(t, !conn.closed)
				if conn.refused {
					refused++
				}
			}
			assert.Equal(t, refused, test.refused)
			assert.Assert(t, ledger.Usage().Requests <= ledger.Plan.Requests)
		})
	}
}

// TestProgressKeepsThePlace checks that a client that sends at the least rate does not count as stalled.
func TestProgressKeepsThePlace(t *testing.T) {
	ledger := newLedger()
	steady, steadyConn := connect(t, ledger, "a", 0)
	slow, slowConn := connect(t, ledger, "a", 0)
	for _, client := range []*Client{steady, slow} {
		ledger.Receive(client, 1, 0)
		assert.Assert(t, ledger.Reserve(client, 384<<10, 0))
	}
	for second := range 5 {
		ledger.Receive(steady, progressBytes, time.Duration(second)*time.Second)
		ledger.Receive(slow, progressBytes/8, time.Duration(second)*time.Second)
	}
	other, _ := connect(t, ledger, "b", 4500*time.Millisecond)
	ledger.Receive(other, 1, 4500*time.Millisecond)
	assert.Assert(t, ledger.Reserve(other, 384<<10, 4500*time.Millisecond))
	assert.Assert(t, !steadyConn.refused)
	assert.Assert(t, slowConn.refused)
	assert.Assert(t, !ledger.EndBody(slow, 5*time.Second), "a client that has lost its place gets no further")
	assert.Assert(t, !ledger.Reserve(slow, 1, 5*time.Second))
}

// TestTimeLimits checks which clients meet the limits on time.
func TestTimeLimits(t *testing.T) {
	times := Times{Rest: 15 * time.Second, Head: 3 * time.Second}
	tests := map[string]struct {
		act     func(ledger *Ledger, client *Client)
		at      time.Duration
		closed  bool
		refused bool
	}{
		"it rests for four fifths of the limit": {func(*Ledger, *Client) {}, 12 * time.Second, false, false},
		"it rests for longer":                   {func(*Ledger, *Client) {}, 16 * time.Second, true, false},
		"its head arrives":                      {func(ledger *Ledger, client *Client) { ledger.Receive(client, 1, time.Second) }, 3 * time.Second, false, false},
		"its head arrives for too long":         {func(ledger *Ledger, client *Client) { ledger.Receive(client, 1, time.Second) }, 5 * time.Second, false, true},
		"its body arrives": {func(ledger *Ledger, client *Client) {
			ledger.Receive(client, 1, time.Second)
			ledger.ReceiveBody(client, time.Second)
		}, time.Minute, false, false},
		"it is served": {func(ledger *Ledger, client *Client) {
			ledger.Receive(client, 1, time.Second)
			ledger.Serve(client, 1, time.Second)
		}, time.Minute, false, false},
		"it rests again": {func(ledger *Ledger, client *Client) {
			ledger.Receive(client, 1, time.Second)
			ledger.Rest(client, 10*time.Second)
		}, 20 * time.Second, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ledger := newLedger()
			client, conn := connect(t, ledger, "a", 0)
			test.act(ledger, client)
			ledger.Expire(whole, times, test.at)
			assert.Equal(t, *conn, fakeConn{closed: test.closed, refused: test.refused})
		})
	}
}

// TestUntrustedTimes checks that processes that don't show the fleet's key are counted as such.
func TestUntrustedTimes(t *testing.T) {
	ledger := newLedger()
	_, silent := connect(t, ledger, "a", 0)
	slow, slowConn := connect(t, ledger, "b", 0)
	trusted, trustedConn := connect(t, ledger, "c", 0)
	ledger.Receive(slow, 1, 0)
	ledger.Trust(trusted, 0)
	ledger.Expire(whole, Times{Rest: time.Second, Head: time.Second, Untrusted: true}, 2*time.Second)
	assert.Assert(t, silent.closed && slowConn.refused && *trustedConn == fakeConn{})
	assert.DeepEqual(t, ledger.Take(), []Record{{Listener: "callers", Limit: LimitTrust, Cut: 2, Address: "a", Times: 1}})
}

// TestRecords checks what is counted, and that the counts of one address don't grow without bound.
func TestRecords(t *testing.T) {
	ledger := newLedger()
	for index := range 10 * maxAddresses {
		client := &Client{Listener: whole, Address: fmt.Sprint("10.0.", index/250, ".", index%250), Owner: &fakeConn{}}
		ledger.Refuse(client, LimitHead, true)
	}
	client := &Client{Listener: whole, Address: "10.0.0.3", Owner: &fakeConn{}}
	ledger.Refuse(client, LimitHead, true)
	ledger.Refuse(client, LimitBodyTime, false)
	assert.Assert(t, len(ledger.records.counts[recordKey{"callers", LimitHead}].addresses) <= maxAddresses)
	assert.DeepEqual(t, ledger.Take(), []Record{
		{Listener: "callers", Limit: LimitBodyTime, Cut: 1, Address: "10.0.0.3", Times: 1},
		{Listener: "callers", Limit: LimitHead, Refused: 10*maxAddresses + 1, Address: "10.0.0.3", Times: 2},
	})
	assert.Equal(t, len(ledger.Take()), 0)
}

// TestSumsHold has many clients act at random, and checks after each step that the sums of the ledger are those
// of its clients and stay within the plan.
func TestSumsHold(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 84))
			ledger := newLedger()
			ledger.Plan.Connections = 20
			var clients []*Client
			now := time.Duration(0)
			for range 1000 {
				now += time.Duration(random.IntN(int(stallTime / 8)))
				if len(clients) == 0 || random.IntN(6) == 0 {
					client := &Client{Listener: whole, Address: fmt.Sprint(random.IntN(5)), Owner: &fakeConn{}}
					if ledger.Connect(client, now) {
						clients = append(clients, client)
					}
					continue
				}
				act(ledger, clients[random.IntN(len(clients))], random, now)
				checkSums(t, ledger, clients)
			}
		})
	}
}

// act has the client take a random step.
func act(ledger *Ledger, client *Client, random *rand.Rand, now time.Duration) {
	switch random.IntN(8) {
	case 0:
		ledger.Receive(client, random.IntN(2*progressBytes), now)
	case 1:
		ledger.Reserve(client, int64(random.IntN(500<<10)), now)
	case 2:
		ledger.Serve(client, int64(random.IntN(100<<10)), now)
	case 3:
		ledger.ReceiveBody(client, now)
	case 4:
		ledger.Rest(client, now)
	case 5:
		ledger.Linger(client, now)
	case 6:
		ledger.Expire(whole, Times{Rest: 5 * time.Second, Head: 3 * time.Second}, now)
	case 7:
		ledger.Disconnect(client)
	}
}

// checkSums compares the sums of the ledger with its clients.
func checkSums(t *testing.T, ledger *Ledger, clients []*Client) {
	t.Helper()
	held, connections := int64(0), 0
	addresses := map[string]int64{}
	for _, client := range clients {
		held += client.held
		if client.held > 0 {
			addresses[client.Address] += client.held
		}
		if client.phase != gone {
			connections++
		}
		assert.Assert(t, client.held >= 0 && (!client.lost() || client.held == 0))
	}
	assert.Equal(t, ledger.held, held)
	assert.DeepEqual(t, ledger.addresses, addresses)
	assert.Equal(t, ledger.Usage().Connections["callers"], connections)
	assert.Assert(t, held <= ledger.Plan.Requests && connections <= ledger.Plan.Connections)
}
