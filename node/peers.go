package node

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/wire"
)

const (
	// lossTime is how long a group is avoided on the word of the node that
	// plans. It is told again each time the lost member is probed.
	lossTime = reviveEvery + reviveEvery/2
	// noticeTimeout bounds the sending of a notice.
	noticeTimeout = 500 * time.Millisecond
	// relayMargin is how much longer than its wait a question to another
	// mirror may take.
	relayMargin = 400 * time.Millisecond
	// failTime is how long a node is not followed that has not answered, or with
	// a copy that was too old.
	failTime = 2 * time.Second
	// sourceAge is how old the copy of a node may be that others follow: its
	// watches take 0.7 s, and what has changed is let gather for 0.1 s.
	sourceAge = 1200 * time.Millisecond
)

// sources are the places of the nodes that others follow, the first that
// answers. It follows the key-value service itself, so that calls don't grow
// with nodes. The node in the first place plans already.
var sources = [...]int{1, 0}

// peers are the other nodes, as far as they are known.
type peers struct {
	node *Node

	mutex sync.Mutex
	nodes []nodeRecord // as compareNodes orders them, this node among them
	known map[shedkeel.NodeID]*peer
	seeds []*peer // from the settings: asked while no nodes are known
	// random is not used elsewhere, and only with the mutex held.
	random shedkeel.Random

	packer packer
}

// peer is one other node.
type peer struct {
	id     shedkeel.NodeID
	node   *Node
	wire   *wire.Peer
	asked  *wire.Peer // for requests, which must not wait while the other one dials
	failed failure    // as a node to be followed
	mute   failure    // as the node that spreads requests
}

// prepare makes peers of the seeds. A seed's name is its address until its
// record tells another.
func (peers *peers) prepare() {
	settings := &peers.node.Settings
	for _, address := range settings.Seeds {
		if address != settings.Listen.Control {
			peers.seeds = append(peers.seeds, peers.dial(shedkeel.NodeID(address), address))
		}
	}
}

// dial returns a new peer at the address. It connects when it is first asked.
func (peers *peers) dial(id shedkeel.NodeID, address string) *peer {
	key := peers.node.Settings.Wire.Key
	return &peer{id: id, node: peers.node, wire: &wire.Peer{Address: address, Key: key}, asked: &wire.Peer{Address: address, Key: key}}
}

// update makes these the nodes that are known.
func (peers *peers) update(nodes []nodeRecord) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	before := peers.known
	peers.nodes = nodes
	peers.known = map[shedkeel.NodeID]*peer{}
	for _, other := range nodes {
		if other.ID == peers.node.Settings.Node {
			continue
		}
		same := before[other.ID]
		if same == nil || same.wire.Address != other.Control {
			same = peers.dial(other.ID, other.Control)
		}
		peers.known[other.ID] = same
	}
	for id, peer := range before {
		if peers.known[id] != peer {
			peer.close()
		}
	}
	peers.node.Log.Write(event.NodesChanged, slog.Int("nodes", len(nodes)))
}

// choose returns the node whose mirror this node follows, or nil if it is to
// follow the service itself.
func (peers *peers) choose() mirror.Peer {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	nodes := peers.withOwn()
	var first *peer
	for _, place := range sources {
		if place >= len(nodes) {
			continue
		}
		if nodes[place].ID == peers.node.Settings.Node {
			return nil
		}
		followed := peers.known[nodes[place].ID]
		if !followed.failed.within(failTime, peers.node.Timers.Now()) {
			return followed
		}
		if first == nil {
			first = followed
		}
	}
	return first // none answers; the copy will be stale, and its turn to ask the service comes
}

// withOwn returns the nodes in order, this one among them though it may not be
// listed yet: it follows others too, once there are any. The mutex is held.
func (peers *peers) withOwn() []nodeRecord {
	own := peers.node.record()
	place, listed := slices.BinarySearchFunc(peers.nodes, own, compareNodes)
	if listed {
		return peers.nodes
	}
	return slices.Insert(slices.Clone(peers.nodes), place, own)
}

// others returns the other nodes as mirrors that may be asked.
func (peers *peers) others() []mirror.Peer {
	asked := peers.all()
	if len(asked) == 0 {
		asked = peers.seeds
	}
	var found []mirror.Peer
	for _, peer := range asked {
		found = append(found, peer)
	}
	return found
}

func (peers *peers) all() []*peer {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	var found []*peer
	for _, peer := range peers.known {
		found = append(found, peer)
	}
	return found
}

// suspect tells the node that plans that a group is silent here. It finds out
// whether a member is lost: a group that reads long prompts is silent too, and
// if each node told all others, all would leave it for those that remain.
func (peers *peers) suspect(group shedkeel.Assignment) {
	leader := peers.node.controller.lead().Node
	if leader == peers.node.Settings.Node {
		peers.node.controller.suspect(group)
		return
	}
	peers.mutex.Lock()
	peer := peers.known[leader]
	peers.mutex.Unlock()
	if peer != nil {
		go peer.runNotice(group, 0)
	}
}

// lost tells the other nodes that a group has lost a member.
func (peers *peers) lost(group shedkeel.Assignment) {
	for _, peer := range peers.all() {
		go peer.runNotice(group, lossTime)
	}
}

// runNotice sends one notice. The group is to be avoided for the time; 0 says
// that it is only suspected.
func (peer *peer) runNotice(group shedkeel.Assignment, avoid time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	notice := &wire.NoticeCall{Node: string(peer.node.Settings.Node), Group: string(group.Group), Epoch: group.Epoch, ForMs: uint32(avoid.Milliseconds())}
	// A notice that is lost costs the other node the time to find out itself.
	_, _ = peer.wire.Do(ctx, &wire.Call{Kind: &wire.Call_Notice{Notice: notice}})
}

func (peers *peers) close() {
	for _, peer := range append(peers.all(), peers.seeds...) {
		peer.close()
	}
}

func (peer *peer) close() {
	peer.wire.Close()
	peer.asked.Close()
}

// Name names the node.
func (peer *peer) Name() string { return string(peer.id) }

// Relay asks the node's mirror.
func (peer *peer) Relay(ctx context.Context, since int64, wait time.Duration) (mirror.Update, error) {
	update, err := peer.relay(ctx, since, wait)
	if err != nil && ctx.Err() == nil || err == nil && -update.AsOf > sourceAge {
		peer.failed.note(peer.node.Timers.Now())
	}
	return update, err
}

// relay asks for differences first. What it has may be another value than they
// are of, where the service itself told it something meanwhile.
func (peer *peer) relay(ctx context.Context, since int64, wait time.Duration) (mirror.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayMargin)
	defer cancel()
	update, err := peer.askRelay(ctx, &wire.RelayCall{Since: since, WaitMs: uint32(wait.Milliseconds()), Differences: true})
	if errors.Is(err, errOtherBase) {
		return peer.askRelay(ctx, &wire.RelayCall{Since: since})
	}
	return update, err
}

func (peer *peer) askRelay(ctx context.Context, call *wire.RelayCall) (mirror.Update, error) {
	reply, err := peer.wire.Do(ctx, &wire.Call{Kind: &wire.Call_Relay{Relay: call}})
	if err != nil {
		return mirror.Update{}, err
	}
	relay := reply.GetRelay()
	if relay == nil || !relay.GetKnown() {
		return mirror.Update{}, mirror.ErrNothingKnown
	}
	update := mirror.Update{Whole: relay.GetWhole(), At: relay.GetAt(), AsOf: -time.Duration(relay.GetAgeMs()) * time.Millisecond}
	for _, record := range relay.GetRecords() {
		unpacked, err := peer.whole(record)
		if err != nil {
			return mirror.Update{}, err
		}
		update.Records = append(update.Records, unpacked)
	}
	return update, nil
}

// whole returns a record as the service has it.
func (peer *peer) whole(sent *wire.StoreRecord) (shedkeel.Record, error) {
	if sent.GetBase() != 0 {
		return undiffer(sent, peer.node.mirror.Get(sent.GetKey()))
	}
	return unpack(sent)
}

// Handle answers other nodes.
func (peers *peers) Handle(ctx context.Context, call *wire.Call) *wire.Reply {
	switch kind := call.GetKind().(type) {
	case *wire.Call_Relay:
		return peers.relay(ctx, kind.Relay)
	case *wire.Call_Notice:
		return peers.takeNotice(kind.Notice)
	case *wire.Call_Spread:
		return peers.takeSpread(kind.Spread)
	case *wire.Call_Demand:
		return peers.takeDemand(kind.Demand)
	}
	return &wire.Reply{Error: "a node answers relays, notices, spreads and demands only; upgrade one side"}
}

func (peers *peers) relay(ctx context.Context, call *wire.RelayCall) *wire.Reply {
	own := &peers.node.mirror
	changed := own.Changed()
	if own.State().At <= call.GetSince() {
		timer := time.NewTimer(time.Duration(call.GetWaitMs()) * time.Millisecond)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-changed:
		}
		timer.Stop()
	}
	state := own.State()
	update := own.Since(call.GetSince())
	age := peers.node.Timers.Now() - update.AsOf
	reply := &wire.RelayReply{Whole: update.Whole, At: update.At, AgeMs: uint64(age.Milliseconds()) + 1, Known: state.Known}
	for _, record := range update.Records {
		reply.Records = append(reply.Records, peers.tell(record, call))
	}
	return &wire.Reply{Kind: &wire.Reply_Relay{Relay: reply}}
}

// tell returns a record as it is sent to a node that asks: by the difference if
// that is what it has the former value of, else whole.
//
// A heartbeat of a server changes one number: 37 bytes are sent in place of 362
// (TestHeartbeatIsSmall). With 600 servers that write each 1.2 s a follower gets
// 19 KB/s in place of 181.
func (peers *peers) tell(record shedkeel.Record, call *wire.RelayCall) *wire.StoreRecord {
	former := peers.node.mirror.Before(record.Key)
	usable := former.Revision != 0 && former.Revision <= call.GetSince() && former.Revision < record.Revision
	if call.GetDifferences() && !record.Gone && usable {
		if told := differ(record, former); told != nil {
			return told
		}
	}
	return peers.packer.pack(record)
}

func (peers *peers) takeNotice(notice *wire.NoticeCall) *wire.Reply {
	node := peers.node
	group := shedkeel.Assignment{Group: shedkeel.GroupID(notice.GetGroup()), Epoch: notice.GetEpoch()}
	avoid := time.Duration(notice.GetForMs()) * time.Millisecond
	node.Log.Write(event.NoticeTaken, slog.String("from", notice.GetNode()), slog.String("group", notice.GetGroup()), slog.Uint64("epoch", notice.GetEpoch()), slog.Duration("avoid", avoid))
	if avoid > 0 {
		node.table.Avoid(group, node.Timers.Now(), avoid)
	} else {
		node.controller.suspect(group)
	}
	return &wire.Reply{Kind: &wire.Reply_Notice{Notice: &wire.NoticeReply{}}}
}

// place returns this node's place among the nodes.
func (peers *peers) place() int {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for index, node := range peers.nodes {
		if node.ID == peers.node.Settings.Node {
			return index
		}
	}
	return len(peers.nodes)
}

// mirrorUpdate is an update with records that this node has written itself.
// It proves nothing of their age.
func mirrorUpdate(records ...shedkeel.Record) mirror.Update {
	return mirror.Update{Records: records}
}
