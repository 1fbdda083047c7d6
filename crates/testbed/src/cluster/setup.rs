//! Starts a cluster: members, discovery, link proxies, configuration files, processes.

use super::process::DriverProcess;
use super::{Cluster, ClusterPlan};
use crate::deployment::{driver_config, DriverIdentity};
use crate::discovery;
use crate::error::Result;
use crate::fault_script::FaultScript;
use crate::link_proxy::{self, Link};
use crate::member::{self, lock, SharedStore};
use crate::store_model::StoreModel;
use crate::wire::wall_clock_now;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

/// Clusters that this process has started.
static CLUSTERS_STARTED: AtomicU32 = AtomicU32::new(0);

/// An address of its own for each driver of each cluster, so that nobody else takes its ports while it is down.
fn driver_address(cluster_index: u32, number: u32) -> String {
    let id = std::process::id().wrapping_mul(97).wrapping_add(cluster_index);
    format!("127.{}.{}.{number}:0", 20 + id % 200, id / 200 % 250)
}

/// Where drivers reach each other's gossip port.
struct GossipLinks {
    /// Each driver's own socket, by number from 1.
    own: Vec<SocketAddr>,
    /// By driver and peer: the proxy's address at which the driver finds the peer.
    proxied: BTreeMap<(u32, u32), SocketAddr>,
    proxies: Vec<Link>,
}

impl GossipLinks {
    fn start(store: &SharedStore, plan: &ClusterPlan, cluster_index: u32) -> Result<GossipLinks> {
        let own: Vec<SocketAddr> = (1..=plan.drivers)
            .map(|n| UdpSocket::bind(driver_address(cluster_index, n))?.local_addr())
            .collect::<io::Result<_>>()?;
        let mut links = GossipLinks {
            own,
            proxied: BTreeMap::new(),
            proxies: Vec::new(),
        };
        for one in 1..=plan.drivers {
            for other in one + 1..=plan.drivers {
                let ends = (links.own[one as usize - 1], links.own[other as usize - 1]);
                let proxy = link_proxy::start(store, (one, other), ends, plan.seed)?;
                links.proxied.insert((one, other), proxy.addresses.0);
                links.proxied.insert((other, one), proxy.addresses.1);
                links.proxies.push(proxy);
            }
        }
        Ok(links)
    }

    /// A driver's operators' file.
    fn operators_file(&self, number: u32, plan: &ClusterPlan) -> String {
        let mut text = String::from("log(lines = 100/s)\n");
        if !plan.gossip_enabled {
            return text;
        }
        let port = self.own[number as usize - 1].port();
        text += &format!(
            "shared(port = {port}, probe = 200ms, suspicion = 1s, compare = 500ms, ask = 100ms, window = 5s, keep = 200ms)\n"
        );
        for other in (1..=plan.drivers).filter(|o| *o != number) {
            let port = self.proxied[&(number, other)].port();
            text += &format!("driver(\"d{other}@127.0.0.1\", port = {port})\n");
        }
        text
    }
}

impl Cluster {
    /// Starts all processes and waits until each answers.
    pub fn start(program: &Path, plan: &ClusterPlan) -> Result<Cluster> {
        let cluster_index = CLUSTERS_STARTED.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("asterlatch-fleet-{}-{cluster_index}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        // No fault holds before the load begins.
        let no_faults = FaultScript::default();
        let store = StoreModel::new(plan.groups, plan.replicas, no_faults, wall_clock_now());
        let store: SharedStore = Arc::new(Mutex::new(store));
        let members: Vec<u32> = lock(&store).members().collect();
        let listening = members.into_iter().map(|m| Ok((m, member::start(&store, m)?)));
        let addresses: discovery::Addresses = listening.collect::<io::Result<_>>()?;
        let mut links = GossipLinks::start(&store, plan, cluster_index)?;
        let mut cluster = Cluster {
            store,
            script: plan.script.clone(),
            folder,
            program: program.to_owned(),
            processes: Vec::new(),
            observed_outages: Vec::new(),
            _link_proxies: std::mem::take(&mut links.proxies),
            listeners: addresses.values().copied().collect(),
        };
        for number in 1..=plan.drivers {
            let listen = TcpListener::bind(driver_address(cluster_index, number))?.local_addr()?;
            let discovery = discovery::start(&cluster.store, &addresses, number)?;
            let other_discovery = discovery::start(&cluster.store, &addresses, number)?;
            cluster.listeners.extend([discovery, other_discovery]);
            let known = discovery::endpoint_list(&cluster.store, &addresses);
            let name = format!("d{number}");
            let identity = DriverIdentity {
                name: &name,
                listen,
                discovery,
            };
            let config = driver_config(&cluster.store, identity, known, plan.drivers);
            std::fs::write(cluster.path(number, "json"), config.to_string())?;
            std::fs::write(cluster.path(number, "latch"), links.operators_file(number, plan))?;
            cluster.processes.push(DriverProcess {
                number,
                listen,
                discoveries: [discovery, other_discovery],
                child: None,
                starts: 0,
                runs_later_build: false,
            });
        }
        for number in 1..=plan.drivers {
            cluster.spawn_driver(number)?;
        }
        for number in 1..=plan.drivers {
            cluster.await_serving(number)?;
        }
        Ok(cluster)
    }
}
