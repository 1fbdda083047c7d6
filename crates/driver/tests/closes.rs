//! Connections that are closed, by either side, while something is on its way: the built program on loopback. Peers are
//! scripted and wait for a byte, an end or a reset; nothing here waits for time to pass.

mod stand;
use stand::*;
use std::io::Write;

/// The client has sent so much ahead that it isn't read any further, and goes.
#[test]
fn a_client_that_leaves_unread_has_its_execution_called_off() {
    let member = member(Manner::Waits);
    let process = serve("leaves-unread", member.address);
    for ahead in [20 * 1024, 60 * 1024] {
        let mut client = process.client();
        // It would end by itself long after anybody waits for that here.
        let text = "/* id=1f,c=view,d=90000,cluster=1 */ SELECT blob FROM rows WHERE handle = 'x'\0";
        client
            .write_all(&message(b'Q', text.as_bytes()))
            .expect("is written");
        assert!(member.told().contains("c=view"));
        client
            .write_all(&message(b'Q', b"\0").repeat(ahead / 6))
            .expect("is written");
        drop(client);
        assert_eq!(member.told(), "ended", "{ahead}");
    }
}
