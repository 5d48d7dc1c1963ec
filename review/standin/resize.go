package main

import (
	"os/exec"
	"syscall"
	"time"
)

// resizeConfig is a configuration without routes: the case needs no requests.
const resizeConfig = `{"version":1,"routes":[],"services":[],"tenants":[],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	resizeNodes     = 13
	resizedMachines = 8
	newCapacity     = 0.3
	restartDelay    = 500 * time.Millisecond // from the end of a process to its next start
	disruptionSlack = time.Second            // an end within it after a disruption does not count
	maxOwnEnds      = 2                      // by rule, three ends of a process by itself are a fault
	resizeTime      = 6 * time.Second        // for which a machine is watched after its process was killed
)

// runResize gives machines another share of a core, one after the other: the settings file changes, and
// the process is killed and started again with the settings of that moment.
func runResize(site *site, trouble bool) error {
	if err := site.startStore(resizeConfig); err != nil {
		return err
	}
	if err := site.startNodes(resizeNodes); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	faulty := 0
	for machine := range resizedMachines {
		// The second of the machines that still have the larger share.
		node := site.nodes[machine+1]
		ends, err := site.resize(node, trouble)
		if err != nil {
			return err
		}
		site.recordLog(node.name, "panic:")
		site.recordLog(node.name, "node.(*peers).choose")
		site.record.say("%s: its process ended by itself %d times, later than %v after the disruption", node.name, ends, disruptionSlack)
		if ends > maxOwnEnds {
			faulty++
		}
	}
	site.record.say("%d of %d machines had three or more ends", faulty, resizeNodes)
	if faulty >= 2 && 10*faulty >= resizeNodes {
		return errBroken
	}
	return nil
}

// resize changes the settings of one machine and kills its process, as far as there is trouble. It
// starts the process again whenever it ends, and returns how often it ended by itself.
func (site *site) resize(node *node, trouble bool) (ends int, err error) {
	if trouble {
		if err := site.writeSettings(node, newCapacity); err != nil {
			return 0, err
		}
		site.signal(node, syscall.SIGHUP)
		time.Sleep(time.Second)
		site.signal(node, syscall.SIGKILL)
		_ = node.command.Wait()
	}
	disrupted := time.Now()
	for time.Since(disrupted) < resizeTime {
		if trouble {
			time.Sleep(restartDelay)
			if err := site.startNode(node); err != nil {
				return 0, err
			}
		}
		end := waitEnd(node.command, time.Until(disrupted.Add(resizeTime)))
		if end == "" {
			return ends, nil
		}
		after := time.Since(disrupted)
		site.record.add("platform: the process of %s ended by itself %v after the disruption: %s", node.name, after.Round(time.Millisecond), end)
		if after > disruptionSlack {
			ends++
		}
	}
	return ends, nil
}

// waitEnd waits for the end of a process and returns how it ended, or "" if it runs on.
func waitEnd(command *exec.Cmd, timeout time.Duration) string {
	ended := make(chan string, 1)
	go func() {
		_ = command.Wait()
		ended <- command.ProcessState.String()
	}()
	select {
	case state := <-ended:
		return state
	case <-time.After(timeout):
		return ""
	}
}
