package node

import (
	"context"
	"log/slog"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/wire"
)

const (
	// lostGroupAvoidTime is how long nodes avoid a group that the leader reports as
	// lost: longer than reprobeInterval, since the leader repeats the notice at each failed
	// probe of the lost member.
	lostGroupAvoidTime = reprobeInterval + reprobeInterval/2
	// noticeTimeout bounds a call that sends a notice.
	noticeTimeout = 500 * time.Millisecond
)

// reportSuspect reports to the leader, if it is known and listed, that a group does not respond
// to this node. The leader finds out whether a member is lost. Only the leader is told, because
// a group that prefills long prompts does not respond for a while either: if each node told all
// others, all nodes would avoid that group and send its requests to the remaining groups.
func (peers *peers) reportSuspect(group shedkeel.Assignment) {
	leader := peers.node.controller.leader()
	if leader == peers.node.Settings.Node {
		peers.node.controller.suspect(group)
		return
	}
	if peer := peers.peer(leader); peer != nil {
		go peer.runGroupNotice(group, 0)
	}
}

// reportDraining reports to the leader that a backend server has stated in an answer to this
// node that it drains. The leader may not learn this otherwise: the leader may send that server
// no requests itself, and the server's record may not state it. If this node leads, or if no
// leader is known or the leader is not listed, reportDraining does nothing.
func (peers *peers) reportDraining(server shedkeel.InstanceID) {
	if peer := peers.peer(peers.node.controller.leader()); peer != nil {
		go peer.runSendNotice(&wire.NoticeCall{Draining: string(server)})
	}
}

// broadcastLoss tells the other listed nodes to avoid a group, because the group has lost a member.
func (peers *peers) broadcastLoss(group shedkeel.Assignment) {
	for _, peer := range peers.all() {
		go peer.runGroupNotice(group, lostGroupAvoidTime)
	}
}

// runGroupNotice sends the peer a notice that a group is to be avoided for the given
// time, or, if that is 0, that the group is only suspected.
func (peer *peer) runGroupNotice(group shedkeel.Assignment, avoid time.Duration) {
	peer.runSendNotice(&wire.NoticeCall{Group: string(group.Group), Epoch: group.Epoch, ForMs: uint32(avoid.Milliseconds())})
}

// runSendNotice sends the peer a notice and does not repeat a failed call. The peer may still
// learn later that the group does not respond or that the server drains.
func (peer *peer) runSendNotice(notice *wire.NoticeCall) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	notice.Node = string(peer.node.Settings.Node)
	_, _ = peer.wire.Do(ctx, &wire.Call{Kind: &wire.Call_Notice{Notice: notice}})
}

// handleNotice handles a notice of another node: a server drains, or a group is to be
// avoided or is suspected.
func (peers *peers) handleNotice(notice *wire.NoticeCall) *wire.Reply {
	node := peers.node
	reply := &wire.Reply{Kind: &wire.Reply_Notice{Notice: &wire.NoticeReply{}}}
	if server := notice.GetDraining(); server != "" {
		if node.table.Drain(shedkeel.InstanceID(server)) {
			node.Log.Write(event.DrainingStated, slog.String("server", server), slog.String("from", notice.GetNode()))
		}
		return reply
	}
	group := shedkeel.Assignment{Group: shedkeel.GroupID(notice.GetGroup()), Epoch: notice.GetEpoch()}
	avoid := time.Duration(notice.GetForMs()) * time.Millisecond
	node.Log.Write(event.NoticeReceived, slog.String("from", notice.GetNode()), slog.String("group", notice.GetGroup()), slog.Uint64("epoch", notice.GetEpoch()), slog.Duration("avoid", avoid))
	if avoid > 0 {
		node.table.AvoidGroup(group, node.Timers.Now(), avoid)
	} else {
		node.controller.suspect(group)
	}
	return reply
}
