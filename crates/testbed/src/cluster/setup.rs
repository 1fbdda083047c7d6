//! Starts a cluster: members, discovery, link proxies, configuration files and processes.

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

/// Number of clusters that this process has started.
static CLUSTERS_STARTED: AtomicU32 = AtomicU32::new(0);

/// A loopback address that differs for each driver of each cluster, so that no other process takes a driver's
/// ports while it is down.
fn driver_address(cluster_index: u32, number: u32) -> String {
    let id = std::process::id().wrapping_mul(97).wrapping_add(cluster_index);
    format!("127.{}.{}.{number}:0", 20 + id % 200, id / 200 % 250)
}

/// Addresses at which drivers reach each other's gossip sockets.
struct GossipLinks {
    /// Address of each driver's socket, in the order of their numbers.
    sockets: Vec<SocketAddr>,
    /// Address of the proxy at which a driver reaches a peer, by driver and peer.
    proxied: BTreeMap<(u32, u32), SocketAddr>,
    proxies: Vec<Link>,
}

impl GossipLinks {
    fn start(store: &SharedStore, plan: &ClusterPlan, cluster_index: u32) -> Result<GossipLinks> {
        let sockets: Vec<SocketAddr> = (1..=plan.drivers)
            .map(|n| UdpSocket::bind(driver_address(cluster_index, n))?.local_addr())
            .collect::<io::Result<_>>()?;
        let mut links = GossipLinks {
            sockets,
            proxied: BTreeMap::new(),
            proxies: Vec::new(),
        };
        for first in 1..=plan.drivers {
            for second in first + 1..=plan.drivers {
                let addresses = (
                    links.sockets[first as usize - 1],
                    links.sockets[second as usize - 1],
                );
                let proxy = link_proxy::start(store, (first, second), addresses, plan.seed)?;
                links.proxied.insert((first, second), proxy.addresses.0);
                links.proxied.insert((second, first), proxy.addresses.1);
                links.proxies.push(proxy);
            }
        }
        Ok(links)
    }

    /// Content of a driver's operators' file.
    fn operators_file(&self, number: u32, plan: &ClusterPlan) -> String {
        let mut text = String::from("log(lines = 100/s)\n");
        if !plan.gossip_enabled {
            return text;
        }
        let port = self.sockets[number as usize - 1].port();
        text += &format!(
            "shared(port = {port}, probe = 200ms, suspicion = 1s, compare = 500ms, ask = 100ms, window = 5s, keep = 200ms)\n"
        );
        for peer in (1..=plan.drivers).filter(|peer| *peer != number) {
            let port = self.proxied[&(number, peer)].port();
            text += &format!("driver(\"d{peer}@127.0.0.1\", port = {port})\n");
        }
        text
    }
}

impl Cluster {
    /// Starts all processes and waits until each serves.
    pub fn start(program: &Path, plan: &ClusterPlan) -> Result<Cluster> {
        let cluster_index = CLUSTERS_STARTED.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("asterlatch-fleet-{}-{cluster_index}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        // The script is installed when the load starts.
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
            let endpoint_list = discovery::endpoint_list(&cluster.store, &addresses);
            let name = format!("d{number}");
            let identity = DriverIdentity {
                name: &name,
                listen,
                discovery,
            };
            let config = driver_config(&cluster.store, identity, endpoint_list, plan.drivers);
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
