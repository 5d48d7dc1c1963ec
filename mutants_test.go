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

// mutant replaces a piece of code so that one mechanism is missing, and names the test
// that must then fail.
type mutant struct {
	file     string
	old, new string // a text that must occur once in the file, and its replacement
	test     string // pattern for go test -run
	packages string // pattern of the packages to test
}

var mutants = map[string]mutant{
	"a request that ends servers: it is never contained": {
		"contain/ledger.go", "case count >= containThreshold:", "case count > containThreshold:", "TestRequestThatEndsServersIsContained", "./node",
	},
	"a request that ends servers: nothing is kept": {
		"node/guard.go", "if turn < 0 || now-since", "if true || now-since", "TestBlameIsKeptOnceTheStoreIsBack", "./node",
	},
	"a request that ends servers: the next is reached over a kept connection": {
		"serve/send.go", "|| exchange.freshConnection.Load()", "", "TestFreshConnectionAfterServerEnd", "./serve",
	},
	"rate limits of servers: every permit is granted": {
		"ratelimit/granter.go", "if delay > request.MaxWait {", "if false {", "TestServerLimitHoldsOverAllNodes", "./node",
	},
	"rate limits of servers: each half of a cut fleet grants all": {
		"node/limits.go", "Rate: rate * fraction,", "Rate: rate + 0*fraction,", "TestHalfOfTheFleetGrantsHalf", "./node",
	},
	"rate limits of servers: repeats need no permit": {
		"serve/permit.go", "if !choice.Limited ||", "if !mayWait || !choice.Limited ||", "TestEveryAttemptNeedsPermit", "./serve",
	},
	"rate limits of servers: a new granter does not wait": {
		"ratelimit/granter.go", "grantsFrom: max(now, request.SettledSince+handoverDelay)", "grantsFrom: now", "TestGranterHandover", "./ratelimit",
	},
	"rate limits of servers: an answer that comes late lifts a limit": {
		"ratelimit/limits.go", "Lifted: true, AsOf: sent}", "Lifted: true, AsOf: now}", "TestLimits", "./ratelimit",
	},
	"evacuated zones: they get requests": {
		"node/fleet.go", "|| fleet.evacuated[instance.Zone]:", ":", "TestEvacuatedZoneGetsNothing", "./node",
	},
	"evacuated zones: a lost record ends an evacuation": {
		"node/evacuation.go", "case record.LostInRestore && wasEvacuated:", "case false && wasEvacuated:", "TestEvacuationsFollowRecords", "./node",
	},
	"cold servers: their records are not heeded": {
		"node/fleet.go", "until := fleet.coldUntil[key]", "until := 0 * fleet.coldUntil[key]", "TestColdServersGetLittle", "./node",
	},
	"cold servers: they count as warm after an evacuation": {
		"node/fleet.go", "until = max(until, endedAt+service.ColdTime)", "until = max(until, 0*endedAt)", "TestColdServersGetLittle", "./node",
	},
	"start of a fleet: nobody waits for the seeds": {
		"mirror/bootstrap.go", "|| bootstrap.firstStart.Load()", "", "TestSimultaneousStart", "./mirror",
	},
	"start of a fleet: the first election does not wait": {
		"node/election.go", "if term.Revision.Exists() {\n\t\treturn place", "if true {\n\t\treturn place", "TestFirstElectionIsOfFew", "./node",
	},
	"start of a fleet: each record is written alone": {
		"node/registrar.go", "timer := time.NewTimer(registerBatchDelay)", "timer := time.NewTimer(0)", "TestRegistrationsAreWrittenTogether", "./node",
	},
	"restored store: eras are not compared": {
		"revision.go", "if revision.Era != other.Era {", "if false {", "TestEras|TestRelayAcrossEras", "./mirror",
	},
	"restored store: a watch of a later era is believed": {
		"platform/store.go", "|| err == nil && era != since.Era {", "{", "TestRestoredService", "./platform",
	},
	"restored store: late answers count": {
		"mirror/mirror.go", "update.At.Exists() && update.At.Era < mirror.at.Era ||", "", "TestEras", "./mirror",
	},
	"restored store: late writes count": {
		"mirror/mirror.go", "earlierEra := record.Revision.Era < mirror.at.Era", "earlierEra := false", "TestEras", "./mirror",
	},
	"restored store: conditions hold by chance": {
		"platform/era.go", "if condition.Revision.Exists() && condition.Revision.Era < store.Era() {", "if false {", "TestRestoredService", "./platform",
	},
	"restored store: former leases are renewed": {
		"platform/store.go", "if era != lease.Era {", "if era < 0 {", "TestRestoredService", "./platform",
	},
	"restored store: a leader leads on": {
		"node/election.go", "return lead, lead.Era >= mirror.State().At.Era", "return lead, true", "TestLeadEndsWithTheEra", "./node",
	},
	"restored store: terms begin anew": {
		"node/election.go", ", era*termsPerEra) + 1", ", 0*era) + 1", "TestLeadEndsWithTheEra", "./node",
	},
	"restored store: a drain goes back": {
		"node/fleet.go", "predatesDrain := known.Draining && !instance.Draining", "predatesDrain := false", "TestServersAfterARestore", "./node",
	},
	"restored store: a removed server is used again": {
		"node/removal.go", "case era > known.era:", "case false:", "TestServersAfterARestore", "./node",
	},
	"restored store: lost records are not believed": {
		"node/restore.go", "fleet.outageUntil = fleet.node.Timers.Now() + deletedRecordHold", "", "TestServersAfterARestore", "./node",
	},
	"restored store: orders go back": {
		"node/fleet.go", "(predatesDrain || instance.Sequence < known.Sequence)", "predatesDrain", "TestOrdersAreKnownAfterARestore", "./node",
	},
	"restored store: nodes that start go by the older configuration": {
		"node/config.go", "if version >= fleet.configVersion() || !fleet.activeConfig.newerThanStore.Load() {", "if true {", "TestNodeThatStartsAfterARestore", "./node",
	},
	"restored store: the planner goes by older records": {
		"node/controller.go", "return controller.era == 0 || now-controller.eraSince >= deletedRecordHold", "return true", "TestPlannerWaitsForRecordsAfterARestore", "./node",
	},
	"restored store: blames are not written again": {
		"node/restore.go", "node.guard.recheckAll()", "", "TestBlamesOutliveARestore", "./node",
	},
	"backoff of servers: it ends with the request": {
		"dispatch/condition.go", "condition.backoffUntil = max(condition.backoffUntil, until)", "", "TestBackoffIsHeeded/all", "./node",
	},
	"backoff of servers: the shorter one holds": {
		"dispatch/condition.go", "max(condition.backoffUntil, until)", "until", "TestConditions", "./dispatch",
	},
	"backoff of servers: permits do not ask for it": {
		"dispatch/limit.go", "candidate.limit == nil || !candidate.usable(query)", "candidate.limit == nil", "TestConditionsHoldForEveryChoice", "./dispatch",
	},
	"backoff of servers: callers are not told its end": {
		"serve/handler.go", "cause = causeBackoff", "cause = causeNoCapacity", "TestRetryAfterABackoff", "./serve",
	},
	"draining servers: their own answers are not heeded": {
		"dispatch/condition.go", "condition.draining = true", "", "TestDrainInAnswersIsHeeded", "./node",
	},
	"draining servers: what they said goes with their record": {
		"dispatch/condition.go", "case now-condition.unlistedSince >= conditionRetention:", "default:", "TestConditions", "./dispatch",
	},
	"budget of repeats: a process that starts has all of it": {
		"serve/budget.go", "warmup := min(float64(now-budget.StartedAt)/float64(budget.Window), 1)", "warmup := 1.0", "TestRetryBudgetAcrossRestarts", "./serve",
	},
	"budget of repeats: more processes than repeats have none": {
		"serve/budget.go", "bound+budget.RandomOffset {", "bound+0*budget.RandomOffset {", "TestRetryBudgetAcrossRestarts", "./serve",
	},
	"copies: who is turned away follows the service alone": {
		"mirror/follower.go", "!follower.fresh(state) || follower.SourceUnreachable()", "!follower.fresh(state)", "TestRefusedUpstreamAsksPeers", "./mirror",
	},
	"copies: questions to any process do not wait": {
		"mirror/follower.go", "peer, wait = follower.randomPeer(), retryDelay", "peer, wait = follower.randomPeer(), 0", "TestFollowersLeaveRefusedUpstream", "./mirror",
	},
	"suspended box: limits go by the runtime's timers": {
		"serve/guard.go", "if now > exchange.deadline {", "if false {", "TestExpireAfterBoxSuspension", "./serve",
	},
	"1 whole groups only: permits do not run out": {
		"member/permit.go", "permit.Until = finding.wholeAt + input.Window", "permit.Until = finding.wholeAt + 1000*input.Window", "TestScenarios/whole_groups", ".",
	},
	"1 whole groups only: the permit is not asked again before sending": {
		"entry/send.go", "if try.entry.Timers.Now() >= try.choice.UsableUntil {", "if false {", "TestFrozenBetweenChoiceAndSend", "./entry",
	},
	"1 whole groups only: the boot is not compared": {
		"group/reconcile.go", "case state.Boot != member.Boot || state.Assigned", "case state.Assigned", "TestInspect", "./group",
	},
	"1 whole groups only: ages count from when a digest is read": {
		"member/exchange.go", "digestFromWire(digest, sent)", "digestFromWire(digest, now)", "TestDigestNeverLooksYounger", "./member",
	},
	"2 one group a box: a taken box counts as free": {
		"group/planner.go", "if !round.assigned[id] && round.usable(view) {", "if round.usable(view) {", "TestBoxIsInAtMostOneGroup", "./group",
	},
	"2 one group a box: the lease counts from the reply": {
		"lease/lease.go", "lease.validUntil = lease.sentAt + lease.TTL - lease.Margin", "lease.validUntil = lease.sentAt + 2*lease.TTL", "TestNeverTwoHolders", "./lease",
	},
	"2 one group a box: a lost reply is settled by the value": {
		"platform/cas.go", "if ownWrite(record.Value) {", "if len(record.Value) == len(value) || ownWrite(record.Value) {", "TestLostReply", "./platform",
	},
	"3 whole answer: the attempt's name is not compared": {
		"entry/send.go", "if echoed != try.attemptID && (echoed", "if false && (echoed", "TestOutcomes|TestStreams", "./entry",
	},
	"3 whole answer: the end mark is not needed": {
		"entry/stream.go", "message, err := engine.ReadEvent(reader)\n", "message, err := engine.ReadEvent(reader)\n\t\tif errors.Is(err, io.EOF) {\n\t\t\treturn relay.flush()\n\t\t}\n", "TestStreams", "./entry",
	},
	"3 whole answer: an answer may end with its connection": {
		"entry/send.go", "if unframed {", "if unframed && false {", "TestOutcomes", "./entry",
	},
	"4 not run is true: requests are left replayable": {
		"engine/transport.go", "request.Body = &nonReplayableBody{reader: request.Body}\n\trequest.GetBody = nil", "request.GetBody = func() (io.ReadCloser, error) { return http.NoBody, nil }", "TestNotRunIsTrue", "./engine",
	},
	"4 not run is true: written bytes are not counted": {
		"engine/transport.go", "if writes.seal() == 0 {", "if true {", "TestNotRunIsTrue|TestIdle", "./engine",
	},
	"4 not run is true: an earlier try is forgotten": {
		"entry/send.go", "call.mayHaveRun != nil {", "call.mayHaveRun != nil && false {", "TestOutcomes", "./entry",
	},
	"5 at most once: no claim": {
		"entry/plain.go", "earlier, err := entry.claim(ctx, call, key)", "var earlier *answer\n\tvar err error\n\t_ = key\n\t_ = entry.claim", "TestScenarios/at_most_once", ".",
	},
	"5 at most once: claims are not compared and swapped": {
		"claim/committer.go", "committer.headKey(), committer.revision, value, writtenByUs)", "committer.headKey(), func() shedkeel.Revision { r, _ := committer.Store.Get(ctx, committer.headKey()); return r.Revision }(), value, writtenByUs)", "TestKeyIsGrantedToOneAttempt", "./claim",
	},
	"6 leaving: the word that a box leaves is not heeded": {
		"member/permit.go", "if leaving[member.Box] {", "if false && leaving[member.Box] {", "TestScenarios/leaving", ".",
	},
	"6 leaving: a group is changed while it runs requests": {
		"group/repair.go", "if len(failed) == 0 && !round.isDrained(*group) {", "if false {", "TestLeavingMemberIsReplacedWhenIdle", "./group",
	},
	"outage: reserves are not used": {
		"keeper/plan.go", "if zone.canFallBack(", "if false && zone.canFallBack(", "TestScenarios/outage", ".",
	},
	"size: a read that keeps coming is given up": {
		"platform/store.go", "func() { stallTimer.Reset(store.Timeout) })", "func() {})", "TestTransfers", "./platform",
	},
	"size: all nodes of a large fleet list the service's records": {
		"node/fleetsize.go", "return mirror.Advice{Peers: peers.dialStartupRelays(size.Relays)}, nil", "return mirror.Advice{ListSource: true}, nil", "TestAdvice", "./node",
	},
	"size: who has no advice to list does so at once": {
		"mirror/bootstrap.go", "if bootstrap.listsSource.Load() || len(follower.Peers()) == 0 {", "if true {", "TestSimultaneousStart", "./mirror",
	},
	"size: all follow one node": {
		"node/follow.go", "return nodes > maxDirectFollowers }", "return nodes < 0 }", "TestFollowers", "./node",
	},
	"lives: the directory asks nobody who lives": {
		"node/nodes.go", "!own && !node.gossip.mayServeCallers(other.ID)", "false", "TestDirectoryLeavesOutDeadNodes", "./node",
	},
	"lives: nodes that do not answer keep their work for all": {
		"node/gossip.go", "return gossip.detector.Liveness(record.ID) != shedkeel.Alive", "return false", "TestDutiesPassOn", "./node",
	},
	"lives: a dead node whose record went is kept": {
		"node/fleet.go", "return !isNode || fleet.node.gossip.mayServeCallers(shedkeel.NodeID(id))", "return !isNode || id != \"\"", "TestGoneNodes", "./node",
	},
	"lives: a node that is cut off removes records": {
		"node/remover.go", "node.stopping.Load() || node.gossip.isolated()", "node.stopping.Load()", "TestRemoverTakes", "./node",
	},
	"lives: a node that hears nobody takes all for dead": {
		"swim/detector.go", "if peer.liveness == shedkeel.Alive && !detector.Isolated(now) {", "if peer.liveness == shedkeel.Alive {", "TestPartitions|TestIsolated", "./swim",
	},
	"lives: a suspicion is not refuted": {
		"swim/receive.go", "if detector.leaving || update.Liveness", "if true || detector.leaving || update.Liveness", "TestStalledNodes|TestLeaving", "./swim",
	},
	"lives: one ping in a period, however many have no answer": {
		"swim/probe.go", "if next == nil || detector.extraPings >= maxExtraPings {", "if true {", "TestDeadNodesAreDetected", "./swim",
	},
	"lives: who is listed late is alive at once": {
		"swim/detector.go", "case peer.lastAlive == never && !peer.presumedAlive && !deadOrLeft(peer):", "case false:", "TestLateListedNodes", "./swim",
	},
	"lives: a hangup ends a node that stops": {
		"program/node.go", "case <-ctx.Done():\n\t\t\treturn\n", "case <-ctx.Done():\n\t\t\tsignal.Reset(syscall.SIGHUP)\n\t\t\treturn\n", "TestSignalsWhileStopping", "./soak",
	},
	"size: a node that lives stays removed": {
		"node/member.go", "return !membership.isRecordCurrent() && sinceAttempt >= registrationRetry", "return false", "TestWatchedMembership", "./node",
	},
	"lost together: a group is formed anew by the first word": {
		"formation/repair.go", "	case round.hasProbePending(group):\n", "	case false:\n", "TestServersLostTogether", "./formation",
	},
	"loads: more at once than the store serves": {
		"formation/stage.go", "float64(round.activeLoads()) >= part*float64(engine.LoadsAtOnce) {", "false {", "TestLoadsAreBoundedUnderTraffic", "./formation",
	},
	"box list: a member that answers is lost with its entry": {
		"keeper/plan.go", "if unlisted[id] && (view.LastReply < 0", "if unlisted[id] && (true || view.LastReply < 0", "TestScenarios/box_list", ".",
	},
	"7 planned stop: it does not wait to be forgotten": {
		"entry/entry.go", "\tentry.waitAddressExpiry()\n\tctx", "\tctx", "TestScenarios/planned_stop", ".",
	},
	"7 planned stop: it does not finish what is in flight": {
		"entry/entry.go", "return callers.Shutdown(ctx)", "_ = ctx\n\treturn callers.Close()", "TestScenarios/planned_stop", ".",
	},
	"8 configuration: an older record is taken": {
		"member/table.go", "if found && record.Generation <= known.Generation {", "if found && record.Generation == known.Generation {", "TestRecordGenerationNeverFalls", "./member",
	},
	"8 configuration: a restored service is not healed": {
		"keeper/spread.go", "keeper.writeBack(stored, known)\n\t\treturn", "return", "TestScenarios/configuration", ".",
	},
	"8 configuration: a lost reply is taken for a failure": {
		"platform/cas.go", "if ownWrite(record.Value) {", "if false {", "TestLostReply", "./platform",
	},
	"nodes: a write to lead that is done late is passed over": {
		"node/election.go", "\t\tcontroller.vacantSince = 0\n\t\tcontroller.becomeLeader(lead)\n", "\t\tcontroller.vacantSince = 0\n", "TestLeadOfUnknownOutcome", "./node",
	},
	"nodes: the leader's record may name a former lease": {
		"node/election.go", "lease := shedkeel.LeaseID{Era: lead.Era, Number: lead.Lease}", "lease := controller.lease.ID()", "TestLateWriteOfFormerLease", "./node",
	},
	"nodes: a source that failed is followed on": {
		"node/follow.go", "if !followed.followFailure.isRecent(followBackoff, peers.node.Timers.Now()) {", "if true {", "TestChoose", "./node",
	},
	"nodes: renewals go on in an outage": {
		"node/member.go", "\treturn maxRegistrationRetry\n", "\treturn registrationRetry\n", "TestRenewalsInAnOutage", "./node",
	},
	"nodes: the word of the node that spreads is not taken": {
		"dispatch/table.go", "if preferred != nil && preferredCost <= maxPreferredCostRatio*lowest {", "if preferred != nil && preferredCost < 0 {", "TestSpreadKeepsPromptsApart", "./dispatch",
	},
	"nodes: the word is taken whatever this node sees": {
		"dispatch/table.go", "preferredCost <= maxPreferredCostRatio*lowest", "preferredCost >= 0", "TestPreferredServer", "./dispatch",
	},
	"nodes: prompts that wait are not counted": {
		"dispatch/spread.go", "best.assigned.prefill += best.prefillTime(query.PromptTokens)", "best.assigned.prefill += 0", "TestSpread$|TestSpreadKeepsPromptsApart", "./dispatch",
	},
	"nodes: a head out of reach is soon taken for gone": {
		"formation/planner.go", "headTimeout = 20 * time.Second", "headTimeout = 5500 * time.Millisecond", "TestRulesHoldWhileServersArePartitioned", "./formation",
	},
	"nodes: what runs on groups is not told": {
		"dispatch/spread.go", "max(state.assigned.running+change, 0)", "max(state.assigned.running+0*change, 0)", "TestSpreadByReportedLoad", "./dispatch",
	},
	"nodes: keys are taken whatever the configuration's age": {
		"serve/handler.go", "if exchange.handler.RefuseStaleKeys && exchange.outOfDate() {", "if false {", "TestStaleConfiguration", "./serve",
	},
	"nodes: what an old configuration does not know is wrong": {
		"serve/handler.go", "if exchange.outOfDate() {\n\t\treturn exchange.refuse(causeStaleConfig, reason+", "if false {\n\t\treturn exchange.refuse(causeStaleConfig, reason+", "TestStaleConfiguration", "./serve",
	},
	"nodes: callers come back at once in an outage": {
		"serve/retryafter.go", "return max(retryOutage, now-since)", "return min(retrySoon, now-since)", "TestRetryAfter", "./serve",
	},
	"nodes: a node that is cut off takes it for an outage of all": {
		"mirror/health.go", "if !noPeers && (", "if !noPeers && false && (", "TestOutage", "./mirror",
	},
	"nodes: seeds are not asked": {
		"mirror/bootstrap.go", "follower.runBootstrap(ctx, peer)\n", "_ = peer\n", "TestBootstrapDuringOutage", "./mirror",
	},
	"nodes: a failure outweighs any wait": {
		"dispatch/spread.go", "return 1 / max(1-failureRate, 1.0/maxAttempts)", "return 1 + maxAttempts*failureRate", "TestSpread$|TestPreferredServer", "./dispatch",
	},
	"nodes: a lasting silence is told once": {
		"dispatch/stall.go", "choice.stallNotified = choice.stallNotified && !report", "_ = report", "TestContinuingStallIsNotifiedAgain", "./dispatch",
	},
	"nodes: a silent stream asks for another server once": {
		"serve/stream.go", "if err := stream.startSource(ctx); err != nil {\n\t\toutcome", "stalled.hedged = true\n\tif err := stream.startSource(ctx); err != nil {\n\t\toutcome", "TestStalledStreamRetriesHedge", "./serve",
	},
	"nodes: a group opens before all members are ready": {
		"formation/repair.go", "state == shedkeel.MemberReady && allReady(group):", "state == shedkeel.MemberReady:", "TestRulesHoldUnderFaults", "./formation",
	},
	"nodes: a spare's host holds what its server has loaded": {
		"formation/stage.go", "if !round.hostCopyIsRedundant(instance) ||", "if true ||", "TestSparesReplaceMembersOfEitherModel", "./formation",
	},
	"nodes: demand is not heeded": {
		"formation/planner.go", "workShares(input.Engine, input.Demand)", "workShares(input.Engine, nil)", "TestGroupsFollowDemand", "./formation",
	},
	"nodes: losses move groups": {
		"formation/reallocate.go", "!excess && !round.demandIsRaised(recipient)", "!excess && false && !round.demandIsRaised(recipient)", "TestLossesMoveNoGroups", "./formation",
	},
	"nodes: a group that was given up is formed anew": {
		"formation/repair.go", "case round.planner.released[assignment]:", "case false:", "TestGroupsFollowDemand", "./formation",
	},
	"nodes: a difference is taken of any value": {
		"transfer/difference.go", "if base.Revision != baseRevision ||", "if base.Revision.Era != baseRevision.Era ||", "TestEncodeDifference", "./transfer",
	},
	"nodes: former formations are remembered": {
		"formation/planner.go", "if now-at <= retentionTime {", "if now-at <= 1000*retentionTime {", "TestFormerFormationsAreForgotten", "./formation",
	},
}

// TestMutants applies each mutant in turn to a copy of the project and checks that
// its test fails. A test that still passes does not cover the mechanism.
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

// reason returns the first line of the output that says why a test failed, or the
// whole output if there is none.
func reason(output string) string {
	for line := range strings.Lines(output) {
		if strings.Contains(line, "assertion failed") || strings.Contains(line, "FAIL: testdata") || strings.Contains(line, "seed") {
			return strings.TrimSpace(line)
		}
	}
	return strings.TrimSpace(output)
}
