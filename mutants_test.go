//go:build mutants

package shedkeel_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// mutant replaces a piece of code to disable or impair one mechanism. At least one of the
// tests that it names must then fail.
type mutant struct {
	file     string
	old, new string // a text that must occur exactly once in the file, and its replacement
	test     string // pattern for go test -run, which selects the tests to run
	packages string // package pattern of those tests, for go test
}

var mutants = map[string]mutant{
	"ended servers: a check without a result is not repeated": {
		"serve/ended.go", "exchange.recheckEnd(attempt, now, 0)\n", "_ = exchange.recheckEnd\n", "TestUnnoticedServerEndIsCounted", "./serve",
	},
	"ended servers: those of withdrawn copies are not checked": {
		"serve/ended.go", "exchange.reportWithdrawn(attempt)\n", "_ = exchange.reportWithdrawn\n", "TestWithdrawnCopyCounts", "./serve",
	},
	"ended servers: those of withdrawn copies are checked once": {
		"serve/ended.go", "handler.Timers.Now()-endedAt < minTime", "minTime < 0", "TestWithdrawnCopyCounts", "./serve",
	},
	"ended servers: a trial ends before the check of its server": {
		"serve/guard.go", "exchange.rechecks.Wait()\n", "_ = 0\n", "TestUnnoticedServerEndIsCounted", "./serve",
	},
	"ended servers: each end of an unlisted server counts as planned": {
		"serve/ended.go", "now-choice.ChosenAt > minDrain", "now >= choice.ChosenAt", "TestEndOfUnlistedServer", "./serve",
	},
	"cut-off boxes: no other node is asked": {
		"node/node.go", "node.Dialer.Relay = &node.connector", "_ = &node.connector", "TestIdleBoxServesWhenCutOff", "./node",
	},
	"cut-off boxes: open connections are trusted at any age": {
		"engine/transport.go", "if !direct {", "if false && !direct {", "TestIdleBoxServesWhenCutOff", "./node",
	},
	"cut-off boxes: their silence counts as that of servers": {
		"node/reach.go", "reporter.node.table.LoseRunning(dialer.TrustedUntil())", "_ = dialer", "TestLostStreamsBlockNoServer", "./node",
	},
	"cut-off boxes: a refusal proves a server's end": {
		"reach/dialer.go", "IsRefused(err) && dialer.hears", "IsRefused(err) || dialer.hears", "TestRefusalToCutOffBoxProvesNothing", "./reach",
	},
	"cut-off boxes: a reset at the server looks like the end of the data": {
		"wire/tunnel.go", "return errTunnelBroken\n", "return io.EOF\n", "TestTunnelEnds", "./wire",
	},
	"cut-off boxes: connections through a node that stops are used again": {
		"reach/dialer.go", " && !dialer.relaysLeaving.Load()", "", "TestRelayStopsAsPlanned", "./node",
	},
	"cut-off boxes: servers that are heard are no path": {
		"reach/paths.go", "heard := max(paths.direct.time(), paths.relayed.time())", "heard := time.Duration(0)", "TestHeardServerProvesAPath", "./reach",
	},
	"own delays: they count as silence of servers": {
		"dispatch/activity.go", "table.Delays.Running(state.lastActivity, now)", "now - state.lastActivity", "TestOwnDelaysAreNoSilence", "./dispatch",
	},
	"own delays: a delay that lasts is not counted": {
		"liveness/delays.go", "if late <= normalDelay {", "if true || late <= normalDelay {", "TestRunning|TestDelayStrategies", "./liveness",
	},
	"own delays: a dial that timed out in them is evidence": {
		"reach/dialer.go", "outcome == TimedOut && !dialer.Delays.Proves(began, now)", "false", "TestDelayedDialsProveNothing", "./reach",
	},
	"own delays: a probe that timed out in them is conclusive": {
		"node/prober.go", "|| !prober.Delays.Proves(began, now)", "", "TestProbe", "./node",
	},
	"parts of prompts: answers do not prove parts harmless": {
		"contain/history.go", "found.proven, found.provenAt = true, now", "found.provenAt = now", "TestDetection", "./contain",
	},
	"parts of prompts: nothing is held against a part": {
		"contain/detector.go", "report.Suspects = append(report.Suspects, detector.record(part, server, clock))", "", "TestPartEndsServerAfterServer", "./node",
	},
	"answers without an end: a sound one is not known to be complete": {
		"completeness/completeness.go", "case !closeDelimited, process == ProcessRuns:", "case !closeDelimited:", "TestUnframedStreamEnds", "./serve",
	},
	"answers without an end: that of a server that has terminated is complete": {
		"serve/completion.go", "completeness.Judge(true, nil, process)", "completeness.Judge(false, nil, process)", "TestUnframedStreamEnds|TestPartOfKilledServerIsNoAnswer|TestDrainingServersPartIsNoAnswer", "./serve",
	},
	"answers without an end: a name proves the process": {
		"completeness/completeness.go", "case health.Server == \"\", health.Born != instance.Born():", "case health.Server == \"\":", "TestJudgeProcess", "./completeness",
	},
	"answers without an end: a check is not repeated": {
		"serve/completion.go", "!result.mayChange()", "true", "TestFinishedAnswerWaitsForProof", "./serve",
	},
	"answers without an end: a second check is not sent": {
		"serve/healthchecks.go", "cancelSecond = server.startSecond(ctx, second)", "", "TestHealthCheckIsRepeatedForOnce", "./serve",
	},
	"answers without an end: no check connection is open before the request": {
		"serve/checkconns.go", "handler.Health.Connect(connecting, address)", "_ = connecting", "TestCheckConnectionIsOlder", "./serve",
	},
	"answers without an end: any answer over an older connection proves the process": {
		"serve/signs.go", "&& !sentAt.Before(wait.endedAt)", "", "TestOtherAnswersProveTheProcess", "./serve",
	},
	"answers without an end: any later answer proves the process": {
		"serve/signs.go", "!connectedAt.After(wait.requestedAt) && ", "", "TestOtherAnswersProveTheProcess", "./serve",
	},
	"answers without an end: an answer of the key-value service without a body is an empty one": {
		"platform/store.go", "if answer == nil {", "if answer == nil || len(body) == 0 {", "TestPartOfPlatformAnswer", "./platform",
	},
	"streams: a canceled attempt is still received from": {
		"serve/stream.go", "stream.drop(source)", "source.cancel()", "TestOrdersOfTwoAttempts", "./serve",
	},
	"streams: one without a live attempt goes on": {
		"serve/stream.go", "for len(stream.sources) > 0 {", "for {", "TestFailedStreamEndsAtOnce", "./serve",
	},
	"streams: events without IDs come twice": {
		"serve/stream.go", "&& !stream.noResume", "", "TestEventsWithoutIDsAreNotRepeated", "./serve",
	},
	"streams: a refused hedge is not replaced": {
		"serve/stream.go", "\t\tstream.replaceHedge(ctx)\n", "", "TestRefusedHedgeIsReplaced", "./serve",
	},
	"nodes: the record of the former process is another node's": {
		"node/peers.go", "return other.ID == record.ID })", "return other == record })", "TestNodeFindsItselfByID", "./node",
	},
	"request containment: a request that crashes servers is contained one failure too late": {
		"contain/ledger.go", "case count >= containThreshold:", "case count > containThreshold:", "TestRequestThatEndsServersIsContained", "./node",
	},
	"request containment: blames are not stored": {
		"node/guard.go", "if turn < 0 || now-since", "if true || now-since", "TestBlameIsKeptOnceTheStoreIsBack", "./node",
	},
	"request containment: the next attempt uses a pooled connection": {
		"serve/send.go", "|| exchange.freshConnection.Load()", "", "TestFreshConnectionAfterServerEnd", "./serve",
	},
	"server rate limits: every permit is granted": {
		"ratelimit/granter.go", "if delay > request.MaxWait {", "if false {", "TestServerLimitHoldsOverAllNodes", "./node",
	},
	"server rate limits: each half of a partitioned fleet grants the full rate": {
		"node/limits.go", "Rate: rate * fraction,", "Rate: rate + 0*fraction,", "TestHalfOfTheFleetGrantsHalf", "./node",
	},
	"server rate limits: retries need no permit": {
		"serve/permit.go", "if !choice.Limited ||", "if !mayWait || !choice.Limited ||", "TestEveryAttemptNeedsPermit", "./serve",
	},
	"server rate limits: a new granter does not wait for handoverDelay": {
		"ratelimit/granter.go", "grantsFrom: max(now, request.SettledSince+handoverDelay)", "grantsFrom: now", "TestGranterHandover", "./ratelimit",
	},
	"server rate limits: an answer that arrives late lifts a limit": {
		"ratelimit/limits.go", "Lifted: true, AsOf: sent}", "Lifted: true, AsOf: now}", "TestLimits", "./ratelimit",
	},
	"zone evacuation: servers of an evacuated zone receive requests": {
		"node/fleet.go", "|| fleet.evacuated[instance.Zone]:", ":", "TestEvacuatedZoneGetsNothing", "./node",
	},
	"zone evacuation: the loss of its record in a restore ends the evacuation": {
		"node/evacuation.go", "case record.LostInRestore && wasEvacuated:", "case false && wasEvacuated:", "TestEvacuationsFollowRecords", "./node",
	},
	"cold servers: their records are ignored": {
		"node/fleet.go", "until := fleet.coldUntil[key]", "until := 0 * fleet.coldUntil[key]", "TestColdServersGetLittle", "./node",
	},
	"cold servers: they count as warm after an evacuation": {
		"node/fleet.go", "until = max(until, endedAt+service.ColdTime)", "until = max(until, 0*endedAt)", "TestColdServersGetLittle", "./node",
	},
	"fleet start: at the first start, nodes list the records after the same delay as at later starts": {
		"mirror/bootstrap.go", "|| bootstrap.firstStart.Load()", "", "TestSimultaneousStart", "./mirror",
	},
	"fleet start: the first election does not wait until the list of nodes has settled": {
		"node/election.go", "if term.Revision.Exists() {\n\t\treturn place", "if true {\n\t\treturn place", "TestOneNodeStandsInFirstElection", "./node",
	},
	"fleet start: registrations are not collected into batches": {
		"node/registrar.go", "timer := time.NewTimer(registerBatchDelay)", "timer := time.NewTimer(0)", "TestRegistrationsAreWrittenTogether", "./node",
	},
	"restored store: eras are not compared": {
		"revision.go", "if revision.Era != other.Era {", "if false {", "TestEras|TestRelayAcrossEras", "./mirror",
	},
	"restored store: a watch accepts changes of another era": {
		"platform/store.go", "|| err == nil && era != since.Era {", "{", "TestRestoredService", "./platform",
	},
	"restored store: late answers of an earlier era are applied": {
		"mirror/mirror.go", "update.At.Exists() && update.At.Era < mirror.at.Era ||", "", "TestEras", "./mirror",
	},
	"restored store: late writes of an earlier era are applied": {
		"mirror/mirror.go", "earlierEra := record.Revision.Era < mirror.at.Era", "earlierEra := false", "TestEras", "./mirror",
	},
	"restored store: revisions of an earlier era satisfy conditions": {
		"platform/era.go", "if condition.Revision.Exists() && condition.Revision.Era < store.Era() {", "if false {", "TestRestoredService", "./platform",
	},
	"restored store: leases of an earlier era are renewed": {
		"platform/store.go", "if era != lease.Era {", "if era < 0 {", "TestRestoredService", "./platform",
	},
	"restored store: a leader of an earlier era remains leader": {
		"node/election.go", "return lead, lead.Era >= mirror.State().At.Era", "return lead, true", "TestLeadEndsWithTheEra", "./node",
	},
	"restored store: election terms do not increase with the era": {
		"node/election.go", ", era*termsPerEra) + 1", ", 0*era) + 1", "TestLeadEndsWithTheEra", "./node",
	},
	"restored store: a draining server becomes ready again": {
		"node/progress.go", "return known.draining\n", "return false\n", "TestServersAfterARestore", "./node",
	},
	"late records: a server is in a group that it has left": {
		"node/progress.go", "return known.epoch > 0", "return false", "TestLateRecordIsOutdated", "./node",
	},
	"late records: a drained server returns": {
		"node/progress.go", "known.removed && (known.draining || record.Draining)", "known.removed && false", "TestLateWritesUndoNothing", "./node",
	},
	"late records: the answer to a renewal ends another lease": {
		"node/lease.go", "lease.current.CompareAndSwap(held, nil)", "lease.current.Store(nil)", "TestLateRenewalIsOfItsLease", "./node",
	},
	"configuration: a request is resolved once": {
		"serve/handler.go", "return exchange.resolve(exchange.handler.Timers.Now())", "return nil", "TestConfigChangesWhileBodyArrives", "./serve",
	},
	"planned stop: attempts are not judged": {
		"serve/send.go", "err == nil && !exchange.mayPassOn()", "false", "TestRequestsOfLeavingProcess", "./serve",
	},
	"sums: long messages need no room": {
		"wire/session.go", "reserved = heldCopies * int64(size)", "reserved = 0", "TestLongMessagesHaveNoRoom", "./wire",
	},
	"restored store: a removed server is used again": {
		"node/removal.go", "case era > known.era:", "case false:", "TestServersAfterARestore", "./node",
	},
	"restored store: records lost by the restore are dropped at once": {
		"node/restore.go", "fleet.outageUntil = fleet.node.Timers.Now() + deletedRecordHold", "", "TestServersAfterARestore", "./node",
	},
	"restored store: records with older sequences replace newer ones": {
		"node/progress.go", "return record.Sequence < known.sequence", "return false", "TestOrdersAreKnownAfterARestore", "./node",
	},
	"restored store: nodes that start apply the older configuration": {
		"node/config.go", "if version >= fleet.configVersion() || !fleet.activeConfig.newerThanStore.Load() {", "if true {", "TestNodeThatStartsAfterARestore", "./node",
	},
	"restored store: the planner does not wait for records to be written again": {
		"node/controller.go", "return !controller.mayBeOutdated || now-controller.eraSince >= deletedRecordHold", "return true", "TestPlannerWaitsForRecordsAfterARestore", "./node",
	},
	"restored store: blames are not written again": {
		"node/restore.go", "node.guard.recheckAll()", "", "TestBlamesOutliveARestore", "./node",
	},
	"server backoff: it is not remembered after the request": {
		"dispatch/condition.go", "condition.backoffUntil = max(condition.backoffUntil, until)", "", "TestBackoffIsHeeded/all", "./node",
	},
	"server backoff: a later one shortens it": {
		"dispatch/condition.go", "max(condition.backoffUntil, until)", "until", "TestConditions", "./dispatch",
	},
	"server backoff: the permit path ignores it": {
		"dispatch/limit.go", "candidate.limit == nil || !candidate.usable(query)", "candidate.limit == nil", "TestConditionsHoldForEveryChoice", "./dispatch",
	},
	"server backoff: Retry-After ignores it": {
		"serve/handler.go", "cause = causeBackoff", "cause = causeNoCapacity", "TestRetryAfterABackoff", "./serve",
	},
	"draining servers: their own answers are ignored": {
		"dispatch/condition.go", "condition.draining = true", "", "TestDrainInAnswersIsHeeded", "./node",
	},
	"draining servers: their state is dropped as soon as their record is removed": {
		"dispatch/condition.go", "case now-condition.unlistedSince >= conditionRetention:", "default:", "TestConditions", "./dispatch",
	},
	"retry budget: a process that starts has its part at once": {
		"retry/sharing.go", "listedFor >= sharing.settleTime()", "listedFor >= 0", "TestRetryBudgetAcrossRestarts|TestRetryBudgetInHistories", "./retry",
	},
	"retry budget: processes that are no longer listed are not counted": {
		"retry/sharing.go", "sharing.missing[process] = sharing.elapsed", "_ = sharing.elapsed", "TestRetryBudgetUnderFailures", "./retry",
	},
	"retry budget: a part is kept without a confirmed list": {
		"retry/sharing.go", "age <= sharing.Hold &&", "sharing.Hold > 0 &&", "TestSharing", "./retry",
	},
	"retry budget: retries are allowed again before they have left the window": {
		"retry/budget.go", "range int64(windowSlots + 1) {\n\t\tretries += usage", "range int64(windowSlots * 9 / 10) {\n\t\tretries += usage", "TestRetryBudgetUnderFailures", "./retry",
	},
	"retry budget: with more processes than permitted retries, no process may retry": {
		"retry/budget.go", "return budget.RandomOffset", "return 0", "TestRetryBudgetAcrossRestarts", "./retry",
	},
	"retry budget: nothing is denied": {
		"retry/budget.go", "if !usage.allows(budget.Ratio, fixed+budget.offset(share)) {", "if fixed < 0 {", "TestRetryBudget$", "./soak",
	},
	"mirrors: a process that the key-value service refuses does not ask its peers": {
		"mirror/follower.go", "!follower.fresh(state) || follower.SourceUnreachable()", "!follower.fresh(state)", "TestRefusedUpstreamAsksPeers", "./mirror",
	},
	"mirrors: requests to a random peer are repeated without delay": {
		"mirror/follower.go", "peer, wait = follower.randomPeer(), retryDelay", "peer, wait = follower.randomPeer(), 0", "TestFollowersLeaveRefusedUpstream", "./mirror",
	},
	"suspended box: deadlines rely only on the runtime's timers": {
		"serve/guard.go", "if now > exchange.deadline {", "if false {", "TestCancelOverdueAfterBoxSuspension", "./serve",
	},
	"whole groups only: permits expire far too late": {
		"member/permit.go", "permit.Until = finding.wholeAt + input.Window", "permit.Until = finding.wholeAt + 1000*input.Window", "TestScenarios/whole_groups", ".",
	},
	"whole groups only: the permit is not checked again before sending": {
		"entry/send.go", "if try.entry.Timers.Now() >= try.choice.UsableUntil {", "if false {", "TestFrozenBetweenChoiceAndSend", "./entry",
	},
	"whole groups only: the boot ID is not compared": {
		"group/reconcile.go", "case state.Boot != member.Boot || state.Assigned", "case state.Assigned", "TestProbeVerdict", "./group",
	},
	"whole groups only: the age of a digest counts from its receipt": {
		"member/exchange.go", "digestFromWire(digest, sent)", "digestFromWire(digest, now)", "TestDigestNeverLooksYounger", "./member",
	},
	"one group per box: an assigned box counts as free": {
		"group/planner.go", "if !round.assigned[id] && round.usable(view) {", "if round.usable(view) {", "TestBoxIsInAtMostOneGroup", "./group",
	},
	"one group per box: a lease is used beyond its TTL": {
		"lease/lease.go", "lease.validUntil = lease.sentAt + lease.TTL - lease.Margin", "lease.validUntil = lease.sentAt + 2*lease.TTL", "TestNeverTwoHolders", "./lease",
	},
	"one group per box: a stored value of the same length counts as this process's own write": {
		"platform/cas.go", "if ownWrite(record.Value) {", "if len(record.Value) == len(value) || ownWrite(record.Value) {", "TestLostReply", "./platform",
	},
	"complete answers: the attempt ID is not compared": {
		"entry/send.go", "if echoed != try.attemptID && (echoed", "if false && (echoed", "TestOutcomes|TestStreams", "./entry",
	},
	"complete answers: a stream may end without the end marker": {
		"entry/stream.go", "message, err := engine.ReadEvent(reader)\n", "message, err := engine.ReadEvent(reader)\n\t\tif errors.Is(err, io.EOF) {\n\t\t\treturn relay.flush()\n\t\t}\n", "TestStreams", "./entry",
	},
	"complete answers: a response without framing may end with its connection": {
		"entry/send.go", "nil, completeness.ProcessUnknown)", "nil, completeness.ProcessRuns)", "TestOutcomes", "./entry",
	},
	"truthful NotRunError: net/http may replay requests": {
		"engine/transport.go", "request.Body = &nonReplayableBody{reader: request.Body}\n\trequest.GetBody = nil", "request.GetBody = func() (io.ReadCloser, error) { return http.NoBody, nil }", "TestNotRunIsTrue", "./engine",
	},
	"truthful NotRunError: requests that were written to the connection count as not run": {
		"engine/transport.go", "if writes.seal() == 0 {", "if true {", "TestNotRunIsTrue|TestIdle", "./engine",
	},
	"truthful NotRunError: an earlier attempt that may have run is ignored": {
		"entry/send.go", "call.mayHaveRun != nil {", "call.mayHaveRun != nil && false {", "TestOutcomes", "./entry",
	},
	"at most once: no attempt claims its key": {
		"entry/plain.go", "earlier, err := entry.claim(ctx, call, key)", "var earlier *answer\n\tvar err error\n\t_ = key\n\t_ = entry.claim", "TestScenarios/at_most_once", ".",
	},
	"at most once: claims overwrite whatever revision the store holds": {
		"claim/committer.go", "committer.headKey(), committer.revision, value, writtenByUs)", "committer.headKey(), func() shedkeel.Revision { r, _ := committer.Store.Get(ctx, committer.headKey()); return r.Revision }(), value, writtenByUs)", "TestKeyIsGrantedToOneAttempt", "./claim",
	},
	"leaving: a box's report that it leaves is ignored": {
		"member/permit.go", "if leaving[member.Box] {", "if false && leaving[member.Box] {", "TestScenarios/leaving", ".",
	},
	"leaving: a leaving member is replaced while its group runs requests": {
		"group/repair.go", "if len(failed) == 0 && !round.isDrained(*group) {", "if false {", "TestLeavingMemberIsReplacedWhenIdle", "./group",
	},
	"outage: a keeper without the lease does not apply the fallback": {
		"keeper/plan.go", "if zone.canFallBack(", "if false && zone.canFallBack(", "TestScenarios/outage", ".",
	},
	"fleet size: a transfer that still makes progress times out": {
		"platform/store.go", "func() { stallTimer.Reset(store.Timeout) })", "func() {})", "TestTransfers", "./platform",
	},
	"fleet size: all nodes of a large fleet list the key-value service's records": {
		"node/fleetsize.go", "return mirror.Advice{Peers: peers.dialStartupRelays(size.Relays)}, nil", "return mirror.Advice{ListSource: true}, nil", "TestAdvice", "./node",
	},
	"fleet size: a node that was not advised to list does so at once": {
		"mirror/bootstrap.go", "if bootstrap.listsSource.Load() || len(follower.Peers()) == 0 {", "if true {", "TestSimultaneousStart", "./mirror",
	},
	"fleet size: all nodes follow the source without relays": {
		"node/follow.go", "return nodes > maxDirectFollowers }", "return nodes < 0 }", "TestFollowers", "./node",
	},
	"failure detection: the directory includes dead nodes": {
		"node/nodes.go", "!own && !node.gossip.mayServeCallers(other.ID)", "false", "TestDirectoryLeavesOutDeadNodes", "./node",
	},
	"failure detection: unresponsive nodes keep their duties": {
		"node/gossip.go", "return gossip.detector.Liveness(record.ID) != shedkeel.Alive", "return false", "TestDutiesPassOn", "./node",
	},
	"failure detection: a dead node is kept after its record was deleted": {
		"node/fleet.go", "return !isNode || fleet.node.gossip.mayServeCallers(shedkeel.NodeID(id))", "return !isNode || id != \"\"", "TestGoneNodes", "./node",
	},
	"failure detection: an isolated node removes records": {
		"node/remover.go", "node.stopping.Load() || node.gossip.isolated()", "node.stopping.Load()", "TestRemoverRemovesDeadNodes", "./node",
	},
	"failure detection: an isolated node suspects all others": {
		"swim/detector.go", "if peer.liveness == shedkeel.Alive && !detector.Isolated(now) {", "if peer.liveness == shedkeel.Alive {", "TestPartitions|TestIsolated", "./swim",
	},
	"failure detection: a suspicion is not refuted": {
		"swim/receive.go", "if detector.leaving || update.Liveness", "if true || detector.leaving || update.Liveness", "TestStalledNodes|TestLeaving", "./swim",
	},
	"failure detection: only one ping per period, however many are unanswered": {
		"swim/probe.go", "if next == nil || detector.extraPings >= maxExtraPings {", "if true {", "TestDeadNodesAreDetected", "./swim",
	},
	"failure detection: a node listed late counts as alive without proof": {
		"swim/detector.go", "case peer.lastAlive == never && !peer.presumedAlive && !deadOrLeft(peer):", "case false:", "TestLateListedNodes", "./swim",
	},
	"signals: SIGHUP kills a node that is stopping": {
		"program/node.go", "case <-ctx.Done():\n\t\t\treturn\n", "case <-ctx.Done():\n\t\t\tsignal.Reset(syscall.SIGHUP)\n\t\t\treturn\n", "TestSignalsWhileStopping", "./soak",
	},
	"fleet size: a live node whose record was removed does not register again": {
		"node/member.go", "case sinceAttempt >= registrationRetry && !membership.isRecordCurrent():", "case false:", "TestWatchedMembership", "./node",
	},
	"servers lost together: a group is formed again before all probes have ended": {
		"formation/repair.go", "	case round.hasProbePending(group):\n", "	case false:\n", "TestServersLostTogether", "./formation",
	},
	"weight loading: concurrent loads are not limited to Engine.LoadsAtOnce": {
		"formation/stage.go", "float64(round.activeLoads()) >= part*float64(engine.LoadsAtOnce) {", "false {", "TestLoadsAreBoundedUnderTraffic", "./formation",
	},
	"box list: a responding member counts as lost once the list omits it": {
		"keeper/plan.go", "if unlisted[id] && (view.LastReply < 0", "if unlisted[id] && (true || view.LastReply < 0", "TestScenarios/box_list", ".",
	},
	"planned stop: it does not wait until callers have dropped the address": {
		"entry/entry.go", "\tentry.waitAddressExpiry()\n\tctx", "\tctx", "TestScenarios/planned_stop", ".",
	},
	"planned stop: requests in flight are aborted": {
		"entry/entry.go", "return callers.Shutdown(ctx)", "_ = ctx\n\treturn callers.Close()", "TestScenarios/planned_stop", ".",
	},
	"configuration: an older record replaces a newer one": {
		"member/table.go", "if found && record.Generation <= known.Generation {", "if found && record.Generation == known.Generation {", "TestRecordGenerationNeverFalls", "./member",
	},
	"configuration: the newer configuration is not written back to a restored key-value service": {
		"keeper/spread.go", "keeper.writeBack(stored, known)\n\t\treturn", "return", "TestScenarios/configuration", ".",
	},
	"configuration: a write whose reply was lost counts as failed": {
		"platform/cas.go", "if ownWrite(record.Value) {", "if false {", "TestLostReply", "./platform",
	},
	"nodes: a leadership write that takes effect late is ignored": {
		"node/election.go", "\t\tcontroller.vacantSince = 0\n\t\tcontroller.becomeLeader(lead)\n", "\t\tcontroller.vacantSince = 0\n", "TestLeadOfUnknownOutcome", "./node",
	},
	"nodes: a leader record written under a former lease is accepted": {
		"node/election.go", "lease := shedkeel.LeaseID{Era: lead.Era, Number: lead.Lease}", "lease := controller.lease.ID()", "TestLateWriteOfFormerLease", "./node",
	},
	"nodes: a failed source is still followed": {
		"node/follow.go", "if !followed.followFailure.isRecent(followBackoff, peers.node.Timers.Now()) {", "if true {", "TestChoose", "./node",
	},
	"nodes: failed registrations are retried without backing off in an outage": {
		"node/member.go", "\treturn maxRegistrationRetry\n", "\treturn registrationRetry\n", "TestRenewalsInAnOutage", "./node",
	},
	"nodes: the spreading node's preference is ignored": {
		"dispatch/table.go", "if preferred != nil && preferredCost <= maxPreferredCostRatio*lowest {", "if preferred != nil && preferredCost < 0 {", "TestSpreadKeepsPromptsApart", "./dispatch",
	},
	"nodes: the spreading node's preference is used at any cost": {
		"dispatch/table.go", "preferredCost <= maxPreferredCostRatio*lowest", "preferredCost >= 0", "TestPreferredServer", "./dispatch",
	},
	"nodes: queued prompts are not counted": {
		"dispatch/spread.go", "best.assigned.prefill += best.prefillTime(query.PromptTokens)", "best.assigned.prefill += 0", "TestSpread$|TestSpreadKeepsPromptsApart", "./dispatch",
	},
	"nodes: an unreachable head counts as lost too early": {
		"formation/planner.go", "headTimeout = 20 * time.Second", "headTimeout = 5500 * time.Millisecond", "TestRulesHoldWhileServersArePartitioned", "./formation",
	},
	"nodes: reported changes of running requests are not counted": {
		"dispatch/spread.go", "max(state.assigned.running+change, 0)", "max(state.assigned.running+0*change, 0)", "TestSpreadByReportedLoad", "./dispatch",
	},
	"nodes: API keys are accepted however old the configuration is": {
		"serve/handler.go", "if exchange.handler.RefuseStaleKeys && exchange.outOfDate() {", "if false {", "TestStaleConfiguration", "./serve",
	},
	"nodes: a route or key that an outdated configuration lacks counts as the caller's error": {
		"serve/handler.go", "if exchange.outOfDate() {\n\t\treturn exchange.refuse(causeStaleConfig, reason+", "if false {\n\t\treturn exchange.refuse(causeStaleConfig, reason+", "TestStaleConfiguration", "./serve",
	},
	"nodes: Retry-After stays short in an outage": {
		"serve/retryafter.go", "return max(retryOutage, now-since)", "return min(retrySoon, now-since)", "TestRetryAfter", "./serve",
	},
	"nodes: an isolated node reports an outage of the key-value service": {
		"mirror/health.go", "if !noPeers && (", "if !noPeers && false && (", "TestOutage", "./mirror",
	},
	"nodes: seeds are not queried": {
		"mirror/bootstrap.go", "follower.runBootstrap(ctx, peer)\n", "_ = peer\n", "TestBootstrapDuringOutage", "./mirror",
	},
	"nodes: failures are penalized too heavily": {
		"dispatch/spread.go", "return 1 / max(1-failureRate, 1.0/maxAttempts)", "return 1 + maxAttempts*failureRate", "TestSpread$|TestPreferredServer", "./dispatch",
	},
	"nodes: a continuing stall is reported only once": {
		"dispatch/stall.go", "choice.stallNotified = choice.stallNotified && !report", "_ = report", "TestContinuingStallIsNotifiedAgain", "./dispatch",
	},
	"nodes: other nodes are not asked about silent groups": {
		"node/node.go", "node.peers.askActivity(now)\n", "_ = now\n", "TestSlowGroupIsNoStall", "./node",
	},
	"nodes: a box that receives nothing excuses the silence of groups": {
		"liveness/liveness.go", " && silence.Own < cutOffSilence", "", "TestFaultsAreFoundAsBefore", "./dispatch",
	},
	"nodes: a stalled stream requests another server only once": {
		"serve/stream.go", "if err := stream.startSource(ctx); err != nil {\n\t\toutcome", "stalled.hedged = true\n\tif err := stream.startSource(ctx); err != nil {\n\t\toutcome", "TestStalledStreamRetriesHedge", "./serve",
	},
	"nodes: a group opens before all members are ready": {
		"formation/repair.go", "state == shedkeel.MemberReady && allReady(group):", "state == shedkeel.MemberReady:", "TestRulesHoldUnderFaults", "./formation",
	},
	"nodes: spares do not prefetch other models into host memory": {
		"formation/stage.go", "if !round.hostCopyIsRedundant(instance) ||", "if true ||", "TestSparesReplaceMembersOfEitherModel", "./formation",
	},
	"nodes: demand is ignored": {
		"formation/planner.go", "workShares(input.Engine, input.Demand)", "workShares(input.Engine, nil)", "TestGroupsFollowDemand", "./formation",
	},
	"nodes: losses of servers reallocate groups without raised demand": {
		"formation/reallocate.go", "!excess && !round.demandIsRaised(recipient)", "!excess && false && !round.demandIsRaised(recipient)", "TestLossesMoveNoGroups", "./formation",
	},
	"nodes: a released group is formed again": {
		"formation/repair.go", "case round.planner.released[assignment]:", "case false:", "TestGroupsFollowDemand", "./formation",
	},
	"nodes: a difference is applied to any base revision of its era": {
		"transfer/difference.go", "if base.Revision != baseRevision ||", "if base.Revision.Era != baseRevision.Era ||", "TestEncodeDifference$", "./transfer",
	},
	"nodes: former formations are kept far too long": {
		"formation/planner.go", "if now-at <= retentionTime {", "if now-at <= 1000*retentionTime {", "TestFormerFormationsAreForgotten", "./formation",
	},
	"overload control: the limit never falls": {
		"overload/limit.go", "case share > maxMissedShare && binding:", "case false && share > maxMissedShare && binding:", "TestLimitOverTime", "./overload",
	},
	"overload control: rejections are not remembered": {
		"overload/memory.go", "return now - began", "return 0 * began", "TestMemory", "./overload",
	},
	"overload control: leftovers take the same limit": {
		"overload/controller.go", "reserve := leftoverReserve", "reserve := 0.0", "TestClassify", "./overload",
	},
	"overload control: promises are never redeemed": {
		"overload/controller.go", "returned = controller.returns.Redeem(request.Digest, now)", "returned = controller.returns.Redeem(request.Digest, now) && false", "TestPromiseIsRedeemed", "./overload",
	},
}

// TestMutants applies each mutant in turn to a copy of the files that git tracks, and checks
// that go test fails for another reason than a failed build. If the tests still pass, they
// do not cover the mechanism.
func TestMutants(t *testing.T) {
	listed, err := exec.Command("git", "ls-files").Output()
	assert.NilError(t, err)
	copied := t.TempDir()
	for _, name := range strings.Fields(string(listed)) {
		text, err := os.ReadFile(name)
		assert.NilError(t, err)
		assert.NilError(t, os.MkdirAll(filepath.Join(copied, filepath.Dir(name)), 0o700))
		assert.NilError(t, os.WriteFile(filepath.Join(copied, name), text, 0o600))
	}
	for name, mutant := range mutants {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(copied, mutant.file)
			original, err := os.ReadFile(path)
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(string(original), mutant.old), 1, "the text to replace must occur exactly once in its file")
			assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(string(original), mutant.old, mutant.new, 1)), 0o600))
			defer func() { _ = os.WriteFile(path, original, 0o600) }()
			command := exec.Command("go", "test", "-timeout", "150s", "-run", mutant.test, mutant.packages)
			command.Dir = copied
			output, err := command.CombinedOutput()
			assert.Assert(t, err != nil, "the test passes on the mutant:\n%s", output)
			assert.Assert(t, !strings.Contains(string(output), "build failed"), "the mutant does not build:\n%s", output)
			t.Logf("the test fails as expected: %s", reason(string(output)))
		})
	}
}

// reason returns the first line of the output that says why a test failed: an
// assertion, a line of a script or a seed. If there is none, it returns the whole
// output.
func reason(output string) string {
	for line := range strings.Lines(output) {
		if strings.Contains(line, "assertion failed") || strings.Contains(line, "FAIL: testdata") || strings.Contains(line, "seed") {
			return strings.TrimSpace(line)
		}
	}
	return strings.TrimSpace(output)
}
