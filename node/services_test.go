package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/serve"
)

// TestSuspectsOfEachService suspects one group of each of two services at once and checks that
// the members of both groups are probed. The planning of one service must not drop the
// suspicions and dead servers of the other service.
func TestSuspectsOfEachService(t *testing.T) {
	node, timers := newTestNode(t)
	node.mirror.Apply(mirror.Update{Full: true, At: shedkeel.Revision{Number: 1}, AsOf: timers.Now()})
	// Each service has one group, of the model m, in a domain with the service's name.
	engine := &shedkeel.Engine{Models: []shedkeel.Model{{ID: "m", Size: 1, Share: 1}}}
	node.fleet.setView(serve.NewView(&shedkeel.ServingConfig{Services: []shedkeel.RoutedService{{ID: "one", Engine: engine}, {ID: "two", Engine: engine}}}))
	node.fleet.instances = map[string]shedkeel.Instance{}
	controller := &node.controller
	for _, service := range []shedkeel.ServiceID{"one", "two"} {
		id := shedkeel.InstanceID("member of " + service)
		group := shedkeel.Assignment{Group: shedkeel.GroupID("m/" + string(service) + "/1"), Epoch: 7}
		node.fleet.instances[string(id)] = shedkeel.Instance{
			ID: id, Service: service, Domain: shedkeel.DomainID(service), Member: &shedkeel.Membership{Group: group.Group, Epoch: group.Epoch, State: shedkeel.MemberOpen},
		}
		controller.suspect(group)
		controller.dead[shedkeel.InstanceID("dead one of "+service)] = timers.Now() + time.Hour // not probed again for an hour
		node.fleet.instances["dead one of "+string(service)] = shedkeel.Instance{ID: shedkeel.InstanceID("dead one of " + service), Service: service}
	}
	controller.plan(t.Context(), timers.Now())
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	assert.Equal(t, len(controller.probing), 2, "both members are probed")
	assert.Equal(t, len(controller.dead), 2, "dead servers of both services are remembered")
}
